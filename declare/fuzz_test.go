package declare

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// requireTyped guards against a decoder that panics or fails without saying
// where and why.
func requireTyped(t *testing.T, err error) {
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

// FuzzParse guards against declarations that are accepted but lose something: an
// accepted configuration that is encoded and parsed again is the same.
func FuzzParse(f *testing.F) {
	for _, file := range base() {
		f.Add(file.Content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := Parse([]File{{Name: "a.json", Content: content}})
		if err != nil {
			requireTyped(t, err)
			return
		}
		encoded, err := json.Marshal(c)
		require.NoError(t, err)
		again, err := Parse([]File{{Name: "a.json", Content: encoded}})
		require.NoError(t, err)
		require.Empty(t, Diff(c, again))
	})
}

// FuzzSettings is the same for the settings.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings + "}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := ParseSettings("settings.json", content)
		if err != nil {
			requireTyped(t, err)
			return
		}
		encoded, err := json.Marshal(s)
		require.NoError(t, err)
		again, err := ParseSettings("settings.json", encoded)
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
