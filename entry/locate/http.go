package locate

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/cassiawind/cassiawind/entry/problem"
)

// Path is the path of the look-up.
const Path = "/v1/locate"

// notMember is the answer of a VM that knows of no entry VMs to name.
var notMember = problem.New(problem.CodeEntryNotReady, http.StatusServiceUnavailable,
	"this entry VM is not a member of the fleet yet").WithRetryAfter(time.Second)

// Handler returns the HTTP handler of the look-up. The client address is that
// of the connection, unless the parameter "client" gives another.
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
		answer, ok := l.Locate(client, key)
		if !ok {
			problem.Write(ctx.ResponseWriter(), "", notMember)
			return
		}
		// The caller may be gone; there is nobody to tell then.
		_ = ctx.JSON(answer)
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}
