package service

import (
	"context"
	"maps"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
)

// Guards against responses that are not valid HTTP and are taken for a health report.
func TestInvalidResponsesToAHealthPoll(t *testing.T) {
	const fields, body = "X-Other: 1", `{"state":"serving","slots":4,"in_flight":1}`
	fetch := func(t *testing.T, text string) error {
		_, err := NewPoller().fetchHealth(context.Background(), httpsyntaxtest.ServeText(t, func(*http.Request) string { return text }))
		return err
	}
	invalid := httpsyntaxtest.InvalidStatusLines(fields, body)
	maps.Copy(invalid, httpsyntaxtest.InvalidFields(fields, body))
	for name, text := range invalid {
		t.Run(name, func(t *testing.T) { require.Error(t, fetch(t, text)) })
	}
	for name, valid := range httpsyntaxtest.ValidFields(fields, body) {
		t.Run(name, func(t *testing.T) { require.NoError(t, fetch(t, valid.Text)) })
	}
}
