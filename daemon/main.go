// Command yuccaspread is the request scheduling daemon: it accepts requests from
// callers, reserves capacity and sends the requests to language model engines
// and plain services. Each file duty_*.go wires one of its subsystems with fx.
package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"k8s.io/klog/v2"

	"yuccaspread/common/catcher"
	"yuccaspread/common/loader"
	"yuccaspread/common/logger"
)

// version is set through the linker flag -X.
var version = "development"

func main() {
	signals := catcher.New()
	var path string
	var overrides []string
	var checkOnly bool
	flaggy.SetName("yuccaspread")
	flaggy.SetDescription("Request scheduler for unlike language model engines and plain services.")
	flaggy.SetVersion(version)
	flaggy.String(&path, "s", "settings", "TOML file with the settings")
	flaggy.StringSlice(&overrides, "", "set", "setting as section.key=value; may be repeated")
	flaggy.Bool(&checkOnly, "c", "check", "only check the settings")
	flaggy.Parse()
	logger.Setup(os.Stderr, "yuccaspread", false)
	if err := run(signals, path, overrides, checkOnly); err != nil {
		klog.ErrorS(err, "daemon failed; the process exits")
		klog.Flush()
		os.Exit(1)
	}
}

func run(signals *catcher.Catcher, path string, overrides []string, checkOnly bool) (err error) {
	var s settings
	file := &settingsFile{signals: signals, source: loader.Source{Path: path, Prefix: "YUCCASPREAD", Flags: overrides}}
	if err = loader.Load(file.source, &s); err != nil || checkOnly {
		return err
	}
	file.latest.Store(&s)
	logOutput := logger.NewBounded(os.Stdout)
	defer logOutput.Close()
	logger.Setup(logOutput, "yuccaspread", s.Verbose)
	redirectStandardLog()
	modules := duties(s)
	if s.Hosted != nil {
		modules = hostedDuties(s)
	}
	klog.InfoS("daemon starting", "name", s.Name, "version", version, "region", s.Region, "failure_domain", s.FailureDomain)
	app := fx.New(fx.Supply(file, signals), reloadingDuty(), modules, fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err = app.Start(context.Background()); err != nil {
		return err
	}
	<-signals.StopRequested()
	klog.InfoS("daemon stopping", "name", s.Name)
	defer func() { klog.InfoS("daemon stopped", "name", s.Name) }()
	ctx, cancel := stopContext(s)
	defer cancel()
	return app.Stop(ctx)
}

// stopContext returns a context that bounds the planned stop if the settings
// limit its duration.
func stopContext(s settings) (ctx context.Context, cancel context.CancelFunc) {
	if s.Hosted == nil {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), fraction(s.Hosted.StopMS, stopFraction).Duration())
}
