package encoder_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// Guards against digests and stored records that depend on the iteration order of
// maps.
func TestMarshalIsDeterministic(t *testing.T) {
	config := zinniatide.Configuration{Epoch: 7, VMs: map[zinniatide.VMID]zinniatide.StateSetting{}}
	for _, id := range strings.Fields("a b c d e f g h i j k l m n o p") {
		config.VMs[zinniatide.VMID(id)] = zinniatide.StateSetting{State: zinniatide.StateIn}
	}
	first, err := encoder.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		again, err := encoder.Marshal(config)
		if err != nil || !bytes.Equal(first, again) {
			t.Fatalf("encodings differ, err %v", err)
		}
	}
	var got zinniatide.Configuration
	if err := encoder.Unmarshal(first, &got); err != nil || !reflect.DeepEqual(got, config) {
		t.Fatalf("got %+v, %v, want %+v", got, err, config)
	}
}

// Guards against an older receiver that fails on a field added by a newer peer,
// and against fields that are not matched by their json names.
func TestUnmarshalIgnoresUnknownFields(t *testing.T) {
	data, err := encoder.Marshal(map[string]any{"server": "b1", "slots": 2, "owner": "e9", "later-field": []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	var got zinniatide.Announcement
	if err := encoder.Unmarshal(data, &got); err != nil || got.Server != "b1" || got.Slots != 2 {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Guards against corrupted or malicious input that is deeply nested, has
// duplicate keys or declares a length that it does not have.
func TestUnmarshalRejectsInvalidInput(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, encoder.MaxNesting+1), 0x01)
	cases := map[string][]byte{
		"empty":                 {},
		"too deep":              deep,
		"duplicate key":         {0xa2, 0x61, 'a', 1, 0x61, 'a', 2},
		"indefinite length":     {0x9f, 0x01, 0xff},
		"tag":                   {0xc1, 0x01},
		"truncated array":       {0x9a, 0x7f, 0xff, 0xff, 0xff, 1},
		"too many elements":     append([]byte{0x9a, 0x00, 0x10, 0x00, 0x01}, make([]byte, encoder.MaxElements+1)...),
		"truncated byte string": {0x5a, 0x00, 0x10, 0x00, 0x00, 1},
		"bytes after the item":  {0x01, 0x02},
		"invalid UTF-8":         {0x61, 0xff},
	}
	for name, data := range cases {
		var got any
		if err := encoder.Unmarshal(data, &got); err == nil {
			t.Errorf("%s: got %v, want an error", name, got)
		}
	}
}

// Guards against losing or changing the bytes after the first item.
func TestUnmarshalFirst(t *testing.T) {
	var got int
	rest, err := encoder.UnmarshalFirst([]byte{0x05, 0x61, 'x'}, &got)
	if err != nil || got != 5 || string(rest) != "ax" {
		t.Errorf("got %d, rest %q, %v", got, rest, err)
	}
}
