package locate

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/cassiawind/cassiawind/entry/problem"
)

// Path is the path of the lookup endpoint.
const Path = "/v1/locate"

// notMemberRejection is sent by a VM that is not a member of the fleet and
// therefore knows no entry VMs.
var notMemberRejection = problem.New(problem.CodeEntryNotReady, http.StatusServiceUnavailable,
	"this entry VM is not a member of the fleet yet").WithRetryAfter(time.Second)

// Handler returns the HTTP handler of the lookup. The client address is that of
// the connection, unless the query parameter "client" gives another one.
func (l *Locator) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(Path, func(ctx iris.Context) {
		client := ctx.URLParam("client")
		if client == "" {
			client = ctx.Request().RemoteAddr
		}
		key := strings.TrimPrefix(ctx.GetHeader("Authorization"), "Bearer ")
		ctx.Header("Cache-Control", "no-store")
		response, ok := l.Locate(client, key)
		if !ok {
			problem.Write(ctx.ResponseWriter(), "", notMemberRejection)
			return
		}
		// An error means that the caller has disconnected.
		_ = ctx.JSON(response)
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}
