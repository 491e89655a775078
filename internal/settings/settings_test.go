package settings_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/internal/settings"
)

// readExample returns the content of a settings file of the examples.
func readExample(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/settings/" + name + ".json")
	require.NoError(t, err)
	return string(data)
}

func TestDecode(t *testing.T) {
	s, err := settings.Decode([]byte(readExample(t, "urad-1")))
	require.NoError(t, err)
	assert.EqualValues(t, "urad-1", s.VM)
	assert.Equal(t, 2000, s.Limits.MaxStreams)
	assert.NotContains(t, fmt.Sprintf("%v %+v %#v", s, s, s), string(s.PeerSecret))

	tests := []struct{ name, old, new, problem string }{
		{"unknown field", `"vm":`, `"colour": 1, "vm":`, "colour: is not a known field"},
		{"missing", `"region": "sk-central",`, ``, "region: is missing"},
		{"name for IP number", `10.11.1.1:7070`, `urad-1:7070`, "peerAddress: ParseAddr"},
		{"unspecified", `10.11.1.1:8080`, `0.0.0.0:8080`, "callerAddress: 0.0.0.0:8080 is not the address of one VM"},
		{"same address", `10.11.1.1:7070`, `10.11.1.1:8080`, "peerAddress: 10.11.1.1:8080 is also callerAddress"},
		{"port 0 of the store", `10.11.9.1:2379`, `10.11.9.1:0`, "store[0]: has port 0"},
		{"secret", `sample-peer-secret-not-for-use`, `short`, "peerSecret: 5 bytes is below the least, 16"},
		{"nested", `"maxStreams": 2000`, `"maxStreams": 0`, "limits.maxStreams: 0 is below the least, 1"},
		{"no store", `["10.11.9.1:2379"]`, `[]`, "store: 0 entries is below the least, 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			valid := readExample(t, "urad-1")
			require.Contains(t, valid, test.old)
			_, err := settings.Decode([]byte(strings.Replace(valid, test.old, test.new, 1)))
			var problems document.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			require.Len(t, problems, 1)
			assert.Contains(t, problems[0].String(), test.problem)
			assert.NotContains(t, err.Error(), "sample-peer-secret")
		})
	}
}

func TestDecodeOperator(t *testing.T) {
	o, err := settings.DecodeOperator([]byte(readExample(t, "operator")))
	require.NoError(t, err)
	assert.Equal(t, 30, o.InForceSeconds)
	_, err = settings.DecodeOperator([]byte(`{"peerSecret": 1}`))
	assert.ErrorContains(t, err, "peerSecret: is a number, not a string\nstore: is missing")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(readExample(f, "urad-1")))
	f.Add([]byte(`{"limits":[],"store":["::1%x:1"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Decode(data)
		if err == nil {
			require.NoError(t, document.Check(s).Err())
		}
	})
}
