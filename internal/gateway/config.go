package gateway

import (
	"net"
	"path"
	"reflect"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/certstore"
	"hollymast/internal/inifile"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/internal/xds"
)

// Config is a gateway's configuration. ParseConfig reads it from an INI file; docs/running.md describes the keys.
type Config struct {
	Listen      string
	AdminListen string // of metrics, health and the operators' calls; empty: none
	LogLevel    string
	Zone        string
	Seed        uint64 // 0: drawn at the start
	NameKey     string // keys the functions' ids; empty: they are plain hashes of the names

	// The source of endpoints: one of the three.
	EndpointFile string      // in this router's own form
	EnvoyFile    string      // in Envoy's bootstrap form
	ControlPlane string      // address of an xDS control plane
	XDSVariant   xds.Variant // of the control plane's discovery service
	LoadReports  bool        // are streamed to the control plane when it asks for them
	ServeView    string      // address that this router's view is served at, in xDS; empty: none

	TLS map[string]*certstore.Config // by kind of connection; plain text where there is none

	Deployment   control.Deployment
	ClassNames   []string  // in the order of Deployment.Classes
	Priorities   []float64 // of the classes; in an overload the lowest is rejected first
	Tenants      map[string]control.TenantID
	TenantNames  []string // by id
	Functions    []Pattern
	DampOverload bool

	GracePeriod  time.Duration // for which new requests may still go to a server after it is listed as draining
	AnswerMargin time.Duration // the part of a request's deadline that is kept free for its answer's way to the client
	LoadTimeout  time.Duration // of load commands

	RecordDir    string // folder for recordings; empty: none
	RecordBounds record.Limits

	StateDir       string                 // folder for learned state; empty: none
	fileSystem     persistence.FileSystem // of StateDir; nil: the operating system's
	StateInterval  time.Duration          // between two writes
	KeyRetention   time.Duration          // for which the idempotency key of a request that may have run is known
	MaxKeys        int                    // idempotency keys that are known
	JournalSync    persistence.SyncPolicy
	MaxHistoryRows int // 0: no history

	MaxClientConns       int
	MaxRequests          int // in flight
	MaxBodyBytes         int // of all request bodies in memory
	MaxBody              int // of one request, in bytes
	MaxConnsPerServer    int
	MaxDials             int // at once
	ServerIdleTimeout    time.Duration
	ClientIdleTimeout    time.Duration
	EndpointFileInterval time.Duration // between two reads of the endpoint file
	DialTimeout          time.Duration
	HeaderTimeout        time.Duration
	BodyTimeout          time.Duration
}

// Pattern is what is known beforehand of the functions whose names match it.
type Pattern struct {
	Glob     string // as in path.Match
	Class    control.ClassID
	Lanes    int
	Work     control.Micros
	LoadTime control.Micros
}

// Match returns the first pattern that matches a function's name; ok is false if none does.
func (c *Config) Match(name string) (pattern Pattern, ok bool) {
	for _, pattern := range c.Functions {
		if hit, _ := path.Match(pattern.Glob, name); hit {
			return pattern, true
		}
	}
	return Pattern{}, false
}

// Bounds of durations in the configuration: they only catch mistakes.
const (
	day  = 24 * time.Hour
	year = 365 * day
)

// ParseConfig reads and validates a configuration. An *inifile.ValidationError names every problem with file, line and
// key.
func ParseConfig(f *inifile.File) (*Config, error) {
	c := &Config{Tenants: map[string]control.TenantID{}}
	c.parseRouter(f.Section("router"))
	c.parseServers(f.Section("servers"))
	c.parseClients(f.Section("clients"))
	c.parseBounds(f.Section("bounds"))
	c.parseRecord(f.Section("record"))
	c.parseMemory(f.Section("memory"))
	c.parseTLS(f)
	c.parseClasses(f)
	c.parsePatterns(f)
	for _, s := range f.Sections("tenant ") {
		name := strings.TrimPrefix(s.Name, "tenant ")
		c.Tenants[name] = control.TenantID(len(c.Deployment.Quotas))
		c.TenantNames = append(c.TenantNames, name)
		c.Deployment.Quotas = append(c.Deployment.Quotas, s.Float("share", 1, 0, 1e9))
	}
	return c, f.Check()
}

// minNameKey is the least length of a name key, in bytes: shorter ones could be found by trial.
const minNameKey = 16

// parseRouter reads the section [router].
func (c *Config) parseRouter(s *inifile.Section) {
	d := &c.Deployment
	c.Listen = parseAddress(s, "listen", "127.0.0.1:8080")
	if c.AdminListen = s.String("admin", ""); c.AdminListen != "" {
		c.AdminListen = parseAddress(s, "admin", "")
	}
	c.parseEndpointSource(s)
	c.Zone = s.String("zone", "")
	d.Routers = s.Int("routers", 1, 1, 1<<16)
	d.RouterIndex = s.Int("number", 0, 0, 1<<16-1)
	if d.RouterIndex >= d.Routers {
		s.Errorf("number", "%d, but routers are numbered from 0 and there are %d", d.RouterIndex, d.Routers)
	}
	c.Seed = uint64(s.Int("seed", 0, 0, 1<<62))
	if c.NameKey = s.String("name_key", ""); c.NameKey != "" && len(c.NameKey) < minNameKey {
		s.Errorf("name_key", "shorter than %d bytes: names could be found by trying keys", minNameKey)
	}
	levels := []string{"debug", "info", "warn", "error"}
	c.LogLevel = levels[s.OneOf("log", "info", levels...)]
}

// parseEndpointSource reads where endpoints come from, and where they are served.
func (c *Config) parseEndpointSource(s *inifile.Section) {
	c.EndpointFile = s.String("list", "")
	if c.ControlPlane = s.String("xds", ""); c.ControlPlane != "" {
		c.ControlPlane = parseAddress(s, "xds", "")
	}
	if c.ServeView = s.String("serve_view", ""); c.ServeView != "" {
		c.ServeView = parseAddress(s, "serve_view", "")
		if host, _, _ := net.SplitHostPort(c.ServeView); !s.Bool("serve_view_beyond", false) && !isLoopback(host) {
			s.Errorf("serve_view", "%s is not on loopback; serve_view_beyond = yes allows it", host)
		}
	}
	c.XDSVariant = []xds.Variant{xds.StateOfTheWorld, xds.Incremental}[s.OneOf("xds_variant", "sotw", "sotw", "delta")]
	if c.LoadReports = s.Bool("load_reports", false); c.LoadReports && c.ControlPlane == "" {
		s.Errorf("load_reports", "no control plane (xds) is told")
	}
	c.EnvoyFile = s.String("envoy_file", "")
	sources := 0
	for _, source := range []string{c.EndpointFile, c.ControlPlane, c.EnvoyFile} {
		if source != "" {
			sources++
		}
	}
	switch {
	case sources == 0:
		s.Errorf("list", "no file that lists the servers is named, no control plane (xds) and no envoy_file")
	case sources > 1:
		s.Errorf("list", "servers come from one of list, xds and envoy_file")
	}
}

// parseServers reads the section [servers].
func (c *Config) parseServers(s *inifile.Section) {
	d := &c.Deployment
	d.MaxAttempts = s.Int("executions", 3, 1, 16)
	d.Tick = micros(s.Duration("tick", 4*time.Millisecond, time.Microsecond, time.Second))
	d.KeepAlive = micros(s.Duration("keep_alive", time.Minute, 0, year))
	d.LoadsOnMiss = s.Bool("loads_on_miss", true)
	d.SupportsLoadCommands = s.Bool("orders", true)
	if !d.LoadsOnMiss && !d.SupportsLoadCommands {
		s.Errorf("orders", "neither jobs nor orders load what is missing: nothing would ever be loaded")
	}
	d.SlowStartInitial = s.Float("cold_from", 0.25, 0, 1)
	d.SlowStartDuration = micros(s.Duration("cold", 10*time.Second, 0, year))
	d.OverloadWindow = micros(s.Duration("fall", time.Second, time.Millisecond, year))
	d.OverloadFactor = s.Float("fall_multiple", 2, 0.01, 1000)
	d.LoadRateWindow = micros(s.Duration("load_window", 0, 0, year))
	d.LoadRateBase = s.Float("load_free", 0, 0, 1e6)
	d.LoadRatePerRequest = s.Float("load_share", 0, 0, 100)
	if d.LoadRateWindow == 0 && (s.Has("load_free") || s.Has("load_share")) {
		s.Errorf("load_window", "load_free and load_share mean nothing without it")
	}
	c.GracePeriod = s.Duration("grace", 500*time.Millisecond, 10*time.Millisecond, time.Hour)
	d.MaxCommandDelay = attempt.MaxEndpointsAge(micros(c.GracePeriod))
	c.LoadTimeout = s.Duration("order_time", 30*time.Second, time.Millisecond, time.Hour)
	d.SupportsCancel = true // an attempt is cancelled by closing its connection
}

// parseClients reads the section [clients].
func (c *Config) parseClients(s *inifile.Section) {
	c.Deployment.ClientsMarkRetries = s.Bool("mark_repeats", true)
	c.Deployment.MaxRetryAfter = micros(s.Duration("stay_away", 2*time.Second, 0, time.Hour))
	c.DampOverload = s.Bool("damp_storms", true)
	c.AnswerMargin = s.Duration("answer_margin", 20*time.Millisecond, 0, time.Minute)
}

// parseBounds reads the section [bounds].
func (c *Config) parseBounds(s *inifile.Section) {
	c.MaxClientConns = s.Int("connections", 20_000, 1, 1<<20)
	c.MaxRequests = s.Int("jobs", 10_000, 1, 1<<20)
	c.MaxBodyBytes = s.Int("bytes", 1<<30, 1<<10, 1<<40)
	c.MaxBody = s.Int("body", 4<<20, 1, 1<<30)
	c.MaxConnsPerServer = s.Int("per_server", 256, 1, 1<<16)
	c.MaxDials = s.Int("dials", 256, 1, 1<<16)
	c.DialTimeout = s.Duration("dial_time", time.Second, time.Millisecond, time.Minute)
	c.ServerIdleTimeout = s.Duration("server_idle", 20*time.Second, time.Millisecond, time.Hour)
	c.ClientIdleTimeout = s.Duration("client_idle", 2*time.Minute, time.Millisecond, day)
	c.HeaderTimeout = s.Duration("header_time", 5*time.Second, time.Millisecond, time.Hour)
	c.BodyTimeout = s.Duration("body_time", 10*time.Second, time.Millisecond, time.Hour)
	c.EndpointFileInterval = s.Duration("list_every", 50*time.Millisecond, time.Millisecond, time.Hour)
	if c.EndpointFileInterval > c.GracePeriod/2 {
		s.Errorf("list_every", "%s leaves too little of the grace of %s", c.EndpointFileInterval, c.GracePeriod)
	}
}

// parseRecord reads the section [record].
func (c *Config) parseRecord(s *inifile.Section) {
	c.RecordDir = s.String("folder", "")
	c.RecordBounds = record.Limits{
		SegmentBytes: int64(s.Int("segment", 64<<20, 1<<10, 1<<40)),
		TotalBytes:   int64(s.Int("total", 1<<30, 1<<10, 1<<50)),
		SegmentAge:   s.Duration("age", 10*time.Minute, time.Second, day),
	}
	if c.RecordBounds.TotalBytes < 2*c.RecordBounds.SegmentBytes {
		s.Errorf("total", "less than two segments of %d bytes", c.RecordBounds.SegmentBytes)
	}
}

// parseMemory reads the section [memory].
func (c *Config) parseMemory(s *inifile.Section) {
	c.StateDir = s.String("folder", "")
	c.StateInterval = s.Duration("every", 3*time.Second, 100*time.Millisecond, time.Hour)
	c.KeyRetention = s.Duration("marks_for", 10*time.Minute, time.Second, 7*day)
	c.MaxKeys = s.Int("marks_most", 1_000_000, 1, 1<<30)
	c.MaxHistoryRows = s.Int("history_rows", 200_000, 0, 1<<30)
	c.JournalSync = persistence.SyncPolicy(s.OneOf("journal_sync", "grouped", "never", "grouped", "each"))
}

// parseClasses reads the sections [workload NAME].
func (c *Config) parseClasses(f *inifile.File) {
	for _, s := range f.Sections("workload ") {
		c.ClassNames = append(c.ClassNames, strings.TrimPrefix(s.Name, "workload "))
		c.Priorities = append(c.Priorities, s.Float("importance", 1, 0, 1e6))
		class := control.Class{
			LatencyObjective:     micros(s.Duration("start_target", time.Second, time.Millisecond, day)),
			MaxDeadline:          micros(s.Duration("time_limit", 10*time.Second, time.Millisecond, day)),
			ObjectivePerExecTime: s.Float("stretch", 0, 0, 1000),
			Idempotency:          control.Idempotency(s.OneOf("effect", "run-once", "restartable", "fingerprinted", "run-once")),
			DedupScope:           control.DedupScope(s.OneOf("group", "fleet", "fleet", "zone", "cell")),
			DedupWindow:          micros(s.Duration("window", 0, 0, day)),
		}
		if class.Idempotency == control.IdempotentByKey && class.DedupWindow == 0 {
			s.Errorf("window", "a fingerprinted workload needs the time for which its repeats are known")
		}
		if class.MaxDeadline < class.LatencyObjective {
			s.Errorf("time_limit", "shorter than the start target")
		}
		c.Deployment.Classes = append(c.Deployment.Classes, class)
	}
	if len(c.ClassNames) == 0 {
		f.Section("workload").Errorf("", "no section [workload NAME]")
	}
}

// parsePatterns reads the sections [function PATTERN].
func (c *Config) parsePatterns(f *inifile.File) {
	for _, s := range f.Sections("function ") {
		pattern := Pattern{Glob: strings.TrimPrefix(s.Name, "function ")}
		if _, err := path.Match(pattern.Glob, ""); err != nil {
			s.Errorf("", "malformed pattern")
		}
		if len(c.ClassNames) > 0 {
			pattern.Class = control.ClassID(s.OneOf("workload", c.ClassNames[0], c.ClassNames...))
		} else {
			s.Has("workload")
		}
		pattern.Lanes = s.Int("lanes", 1, 1, 1<<12)
		pattern.Work = micros(s.Duration("work", 0, 0, time.Hour))
		pattern.LoadTime = micros(s.Duration("load_time", 0, 0, time.Hour))
		c.Functions = append(c.Functions, pattern)
	}
	if len(c.Functions) == 0 {
		f.Section("function").Errorf("", "no section [function PATTERN]: no name would be known")
	}
}

// isLoopback reports whether a host is this machine.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// parseAddress reads an address with a host and a port.
func parseAddress(s *inifile.Section, key, fallback string) string {
	value := s.String(key, fallback)
	if host, port, err := net.SplitHostPort(value); err != nil || host == "" || port == "" {
		s.Errorf(key, "%q is no address with a port", value)
	}
	return value
}

// ChangesNeedingRestart returns the fields of the configuration that differ and can't change while the gateway runs:
// all but the log level.
func ChangesNeedingRestart(old, changed *Config) []string {
	var names []string
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*changed)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if !field.IsExported() { // no setting: tests set them
			continue
		}
		name := field.Name
		if name != "LogLevel" && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
