package declare

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// requireFieldErrors guards against decoding errors that do not tell where and
// why they occurred.
func requireFieldErrors(t *testing.T, err error) {
	var errs ValidationErrors
	require.True(t, errors.As(err, &errs))
	require.NotEmpty(t, errs)
	for _, e := range errs {
		require.NotNil(t, e.Kind)
		require.NotEmpty(t, e.File)
		require.NotEmpty(t, e.Field)
		require.NotEmpty(t, e.Allowed)
	}
}

// FuzzParse guards against losing a part of an accepted configuration: encoding
// it and parsing it again must return the same configuration.
func FuzzParse(f *testing.F) {
	for _, file := range validFiles() {
		f.Add(file.Content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := Parse([]File{{Name: "a.json", Content: content}})
		if err != nil {
			requireFieldErrors(t, err)
			return
		}
		encoded, err := json.Marshal(c)
		require.NoError(t, err)
		decoded, err := Parse([]File{{Name: "a.json", Content: encoded}})
		require.NoError(t, err)
		require.Empty(t, Diff(c, decoded))
	})
}

// FuzzSettings guards against losing a part of accepted settings: encoding them
// and parsing them again must return the same settings.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings + "}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := ParseSettings("settings.json", content)
		if err != nil {
			requireFieldErrors(t, err)
			return
		}
		encoded, err := json.Marshal(s)
		require.NoError(t, err)
		decoded, err := ParseSettings("settings.json", encoded)
		require.NoError(t, err)
		require.Equal(t, s, decoded)
	})
}
