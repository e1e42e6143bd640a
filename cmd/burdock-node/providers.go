package main

import (
	"context"
	"net"
	"net/http"
	"os"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/node"
	"github.com/burdockplank/burdockplank/platform"
)

// settingsPath and logLevel are separate types so that Wire can distinguish them.
type (
	settingsPath string
	logLevel     string
)

func provideSink() *logging.Async { return logging.NewAsync(os.Stdout) }

func provideLog(s *deployment.Settings, level logLevel, sink *logging.Async) (*zap.Logger, error) {
	return logging.NewAsyncLog(node.Name, s.VMName, string(level), sink)
}

// providePlatform returns the components of the platform's adapter.
func providePlatform(s *deployment.Settings, path settingsPath) node.Platform {
	dialer := platform.NewLeafDialer(s.IP)
	return node.Platform{
		Store:   platform.NewStore(s.StoreAddress, s.IP),
		Decoder: platform.Decoder{},
		Dialer:  dialer,
		NewCallerHandler: func(s dispatch.Server, limits func() catalog.Limits, routed func(*dispatch.Request) bool, leaving func() bool, refused func(string)) http.Handler {
			return platform.NewEdge(s, limits, routed, leaving, refused)
		},
		NewReadinessHandler: platform.NewReadinessHandler,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return platform.ConnContext(ctx, c)
		},
		SetAnswerMemory: dialer.SetAnswerMemory,
		ReloadSettings:  func() (*deployment.Settings, error) { return platform.LoadSettings(string(path)) },
	}
}
