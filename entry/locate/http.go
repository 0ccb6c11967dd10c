package locate

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
)

// Path is the path of the look-up.
const Path = "/v1/locate"

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
		// The caller may be gone; there is nobody to tell then.
		_ = ctx.JSON(l.Locate(client, key))
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}
