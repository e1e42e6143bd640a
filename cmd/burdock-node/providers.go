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

// settingsPath and logLevel are typed for the wiring.
type (
	settingsPath string
	logLevel     string
)

func provideSink() *logging.Async { return logging.NewAsync(os.Stdout) }

func provideLog(s *deployment.Settings, level logLevel, sink *logging.Async) (*zap.Logger, error) {
	return logging.NewAsyncLog(node.Name, s.VM, string(level), sink)
}

// providePlatform gathers what the adapter brings.
func providePlatform(s *deployment.Settings, path settingsPath) node.Platform {
	return node.Platform{
		Store:   platform.NewStore(s.Store, s.IP),
		Decoder: platform.Decoder{},
		Dialer:  platform.NewLeafDialer(s.IP),
		Callers: func(s dispatch.Server, limits func() catalog.Limits, leaving func() bool, refused func(string)) http.Handler {
			return platform.NewEdge(s, limits, leaving, refused)
		},
		Ready: platform.Ready,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return platform.ConnContext(ctx, c)
		},
		Reload: func() ([]string, error) {
			now, err := platform.LoadSettings(string(path))
			if err != nil {
				return nil, err
			}
			return now.Seeds, nil
		},
	}
}
