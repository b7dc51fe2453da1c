package registrar

import (
	"reflect"
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a field of a route that is left out of the comparison, so that a ticket
// that changes it has no effect.
func TestRouteEqualComparesAllFields(t *testing.T) {
	base := zinniatide.Route{Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}}, Shards: []zinniatide.ServiceID{"s"}}
	for i := range reflect.TypeFor[zinniatide.Route]().NumField() {
		changed := base
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("other")
		case reflect.Int, reflect.Int64:
			field.SetInt(7)
		case reflect.Float64:
			field.SetFloat(7)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Slice:
			field.SetZero()
		default:
			t.Fatalf("field %d has kind %v, which this test does not know", i, field.Kind())
		}
		if base.Equal(&changed) {
			t.Errorf("got equal routes although %s differs", reflect.TypeFor[zinniatide.Route]().Field(i).Name)
		}
	}
	if same := base; !base.Equal(&same) {
		t.Error("got different routes, want equal ones")
	}
}
