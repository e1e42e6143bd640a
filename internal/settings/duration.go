package settings

import (
	"fmt"
	"reflect"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as \"250ms\": %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

var durationType = reflect.TypeFor[Duration]()

// durationKeys adds the dotted keys of all Duration fields in t to keys, each with the prefix.
func durationKeys(t reflect.Type, prefix string, keys map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t == durationType {
		keys[prefix] = true
		return
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for field := range t.Fields() {
		key := field.Tag.Get("toml")
		if key == "" {
			continue
		}
		if prefix != "" {
			key = prefix + "." + key
		}
		durationKeys(field.Type, key, keys)
	}
}
