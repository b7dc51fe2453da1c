package registrar

import (
	"reflect"
	"testing"

	"zinniatide.example/zinniatide"
)

// setSample sets v to a value that differs from its zero value: one entry for a map or a
// slice, whose elements stay zero.
func setSample(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		element := reflect.New(v.Type().Elem()).Elem()
		if element.Kind() == reflect.Pointer {
			element.Set(reflect.New(element.Type().Elem()))
		}
		v.SetMapIndex(reflect.New(v.Type().Key()).Elem(), element)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		if routing, ok := v.Interface().(*RoutingDelta); ok {
			routing.Number = 7
		}
	case reflect.Uint64:
		v.SetUint(7)
	default:
		t.Fatalf("kind %v is not known to this test", v.Kind())
	}
}

// Guards against a field of the configuration that no delta carries, that a delta carries
// without effect, or whose change alone counts as no change: VMs would never learn of it.
func TestDeltasCarryAllFieldsOfConfiguration(t *testing.T) {
	// carriers are the fields of a delta for fields of the configuration of another name.
	carriers := map[string]string{"RoutingNumber": "Routing"}
	configuration, carried := reflect.TypeFor[zinniatide.Configuration](), map[string]bool{}
	for i := range configuration.NumField() {
		name := configuration.Field(i).Name
		carrier := name
		if other, ok := carriers[name]; ok {
			carrier = other
		}
		carried[carrier] = true
		var delta Delta
		field := reflect.ValueOf(&delta).Elem().FieldByName(carrier)
		if !field.IsValid() {
			t.Errorf("got no field of a delta for %s, want %s", name, carrier)
			continue
		}
		setSample(t, field)
		if name != "Epoch" && delta.empty() {
			t.Errorf("got an empty delta although %s is set, want it to count as a change", carrier)
		}
		base := NewConfiguration()
		before := reflect.ValueOf(*base).Field(i).Interface()
		next := ApplyDeltas(base, []Delta{delta})
		if after := reflect.ValueOf(*next).Field(i).Interface(); reflect.DeepEqual(before, after) {
			t.Errorf("got %s unchanged by a delta with %s, want a change", name, carrier)
		}
	}
	delta := reflect.TypeFor[Delta]()
	for i := range delta.NumField() {
		if name := delta.Field(i).Name; !carried[name] {
			t.Errorf("got field %s of a delta that no field of the configuration needs, want none", name)
		}
	}
}
