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
)

// Told is all that a router is told at its start.
type Config struct {
	Listen       string
	AdminListen  string // address of health and metrics; empty: none
	EndpointFile string // file that lists the servers
	ControlPlane string // address of the control plane that does; empty: the file
	DeltaXDS     bool   // it is asked for changes alone
	DampOverload bool   // are damped
	LoadReports  bool   // are sent to it where it asks
	EnvoyFile    string // file in Envoy's own form that lists the servers; empty: none
	ServeView    string // address at which our view is served as a control plane does; empty: none
	Zone         string
	TLS          map[string]*certstore.Config // by kind of connections; none: in plain text
	Seed         uint64                       // 0: drawn at the start
	NameKey      string                       // keys the ids of functions; empty: they are plain hashes of the names
	LogLevel     string
	Deployment   control.Deployment
	ClassNames   []string  // names, in the order of Deployment.Workloads
	Priorities   []float64 // of each; in storms the least important give way first
	Tenants      map[string]control.TenantID
	TenantNames  []string  // by id
	Functions    []Pattern // the first that matches a name counts

	GracePeriod  time.Duration // within which nothing new may still go to a server told to drain
	AnswerMargin time.Duration // an answer's way to the client: kept free at the end of its time
	LoadTimeout  time.Duration // for which the answer to an order to load is awaited

	RecordDir    string // folder for recordings; empty: none
	RecordBounds record.Limits

	StateDir       string                 // folder for what is learned; empty: none
	fileSystem     persistence.FileSystem // of that folder; nil: the machine's
	StateInterval  time.Duration          // between two writings
	KeyRetention   time.Duration          // how long a client's mark of a job that may have run is known
	MaxKeys        int                    // and how many of them
	JournalSync    persistence.SyncPolicy
	MaxHistoryRows int // kept at most of the history of use; 0: none

	MaxClientConns       int // of clients
	MaxRequests          int // in hand
	MaxBodyBytes         int // of bodies in hand
	MaxBody              int // of one body
	MaxConnsPerServer    int // connections to one server
	MaxDials             int // under way at once
	ServerIdleTimeout    time.Duration
	ClientIdleTimeout    time.Duration
	EndpointFileInterval time.Duration
	DialTimeout          time.Duration
	HeaderTimeout        time.Duration
	BodyTimeout          time.Duration
}

// Pattern says what is known beforehand of the functions whose names match it.
type Pattern struct {
	Glob     string // as in path.Match
	Class    control.ClassID
	Lanes    int
	Work     control.Micros
	LoadTime control.Micros
}

// Match finds what is told of a function; ok is false where no pattern matches.
func (c *Config) Match(name string) (Pattern, bool) {
	for _, pattern := range c.Functions {
		if hit, _ := path.Match(pattern.Glob, name); hit {
			return pattern, true
		}
	}
	return Pattern{}, false
}

// ReadTold reads a router's settings. A *inifile.Faults names every fault with file, line and key.
func ParseConfig(f *inifile.File) (*Config, error) {
	const day = 24 * time.Hour
	const year = 365 * day
	t := &Config{Tenants: map[string]control.TenantID{}}
	d := &t.Deployment

	r := f.Section("router")
	t.Listen = parseAddress(r, "listen", "127.0.0.1:8080")
	t.AdminListen = r.String("admin", "")
	if t.AdminListen != "" {
		t.AdminListen = parseAddress(r, "admin", "")
	}
	t.EndpointFile = r.String("list", "")
	if t.ControlPlane = r.String("xds", ""); t.ControlPlane != "" {
		t.ControlPlane = parseAddress(r, "xds", "")
	}
	if t.ServeView = r.String("serve_view", ""); t.ServeView != "" {
		t.ServeView = parseAddress(r, "serve_view", "")
		if host, _, _ := net.SplitHostPort(t.ServeView); !r.Bool("serve_view_beyond", false) && !isLoopback(host) {
			r.Errorf("serve_view", "%s is not on loopback; serve_view_beyond = yes allows it", host)
		}
	}
	t.DeltaXDS = r.OneOf("xds_variant", "sotw", "sotw", "delta") == 1
	if t.LoadReports = r.Bool("load_reports", false); t.LoadReports && t.ControlPlane == "" {
		r.Errorf("load_reports", "no control plane (xds) is told")
	}
	t.EnvoyFile = r.String("envoy_file", "")
	sources := 0
	for _, s := range []string{t.EndpointFile, t.ControlPlane, t.EnvoyFile} {
		if s != "" {
			sources++
		}
	}
	switch sources {
	case 0:
		r.Errorf("list", "no file that lists the servers is named, no control plane (xds) and no envoy_file")
	case 1:
	default:
		r.Errorf("list", "servers come from one of list, xds and envoy_file")
	}
	t.Zone = r.String("zone", "")
	d.Routers = r.Int("routers", 1, 1, 1<<16)
	d.Number = r.Int("number", 0, 0, 1<<16-1)
	if d.Number >= d.Routers {
		r.Errorf("number", "%d, but routers are numbered from 0 and there are %d", d.Number, d.Routers)
	}
	t.Seed = uint64(r.Int("seed", 0, 0, 1<<62))
	t.NameKey = r.String("name_key", "")
	if t.NameKey != "" && len(t.NameKey) < 16 {
		r.Errorf("name_key", "shorter than 16 bytes: names could be found by trying keys")
	}
	levels := []string{"debug", "info", "warn", "error"}
	t.LogLevel = levels[r.OneOf("log", "info", levels...)]

	s := f.Section("servers")
	d.MaxAttempts = s.Int("executions", 3, 1, 16)
	d.Tick = micros(s.Duration("tick", 4*time.Millisecond, time.Microsecond, time.Second))
	d.KeepAlive = micros(s.Duration("keep_alive", time.Minute, 0, year))
	d.LoadsOnMiss = s.Bool("loads_on_miss", true)
	d.LoadCommands = s.Bool("orders", true)
	if !d.LoadsOnMiss && !d.LoadCommands {
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
	t.GracePeriod = s.Duration("grace", 500*time.Millisecond, 10*time.Millisecond, time.Hour)
	d.MaxCommandDelay = attempt.MaxEndpointsAge(micros(t.GracePeriod))
	t.LoadTimeout = s.Duration("order_time", 30*time.Second, time.Millisecond, time.Hour)
	d.SupportsCancel = true // closing its connection calls an execution off

	c := f.Section("clients")
	d.MarksRetries = c.Bool("mark_repeats", true)
	d.MaxRetryAfter = micros(c.Duration("stay_away", 2*time.Second, 0, time.Hour))
	t.DampOverload = c.Bool("damp_storms", true)
	t.AnswerMargin = c.Duration("answer_margin", 20*time.Millisecond, 0, time.Minute)

	b := f.Section("bounds")
	t.MaxClientConns = b.Int("connections", 20_000, 1, 1<<20)
	t.MaxRequests = b.Int("jobs", 10_000, 1, 1<<20)
	t.MaxBodyBytes = b.Int("bytes", 1<<30, 1<<10, 1<<40)
	t.MaxBody = b.Int("body", 4<<20, 1, 1<<30)
	t.MaxConnsPerServer = b.Int("per_server", 256, 1, 1<<16)
	t.MaxDials = b.Int("dials", 256, 1, 1<<16)
	t.DialTimeout = b.Duration("dial_time", time.Second, time.Millisecond, time.Minute)
	t.ServerIdleTimeout = b.Duration("server_idle", 20*time.Second, time.Millisecond, time.Hour)
	t.ClientIdleTimeout = b.Duration("client_idle", 2*time.Minute, time.Millisecond, 24*time.Hour)
	t.HeaderTimeout = b.Duration("header_time", 5*time.Second, time.Millisecond, time.Hour)
	t.BodyTimeout = b.Duration("body_time", 10*time.Second, time.Millisecond, time.Hour)
	t.EndpointFileInterval = b.Duration("list_every", 50*time.Millisecond, time.Millisecond, time.Hour)
	if t.EndpointFileInterval > t.GracePeriod/2 {
		b.Errorf("list_every", "%s leaves too little of the grace of %s", t.EndpointFileInterval, t.GracePeriod)
	}

	rec := f.Section("record")
	t.RecordDir = rec.String("folder", "")
	t.RecordBounds = record.Limits{SegmentBytes: int64(rec.Int("segment", 64<<20, 1<<10, 1<<40)), TotalBytes: int64(rec.Int("total", 1<<30, 1<<10, 1<<50)),
		SegmentAge: rec.Duration("age", 10*time.Minute, time.Second, day)}
	if t.RecordBounds.TotalBytes < 2*t.RecordBounds.SegmentBytes {
		rec.Errorf("total", "less than two segments of %d bytes", t.RecordBounds.SegmentBytes)
	}

	mem := f.Section("memory")
	t.StateDir = mem.String("folder", "")
	t.StateInterval = mem.Duration("every", 3*time.Second, 100*time.Millisecond, time.Hour)
	t.KeyRetention = mem.Duration("marks_for", 10*time.Minute, time.Second, 7*day)
	t.MaxKeys = mem.Int("marks_most", 1_000_000, 1, 1<<30)
	t.MaxHistoryRows = mem.Int("history_rows", 200_000, 0, 1<<30)
	t.JournalSync = persistence.SyncPolicy(mem.OneOf("journal_sync", "grouped", "never", "grouped", "each"))

	t.parseTLS(f)
	t.parseClasses(f)
	t.parsePatterns(f)
	for _, s := range f.Sections("tenant ") {
		t.Tenants[strings.TrimPrefix(s.Name, "tenant ")] = control.TenantID(len(d.Quotas))
		t.TenantNames = append(t.TenantNames, strings.TrimPrefix(s.Name, "tenant "))
		d.Quotas = append(d.Quotas, s.Float("share", 1, 0, 1e9))
	}
	return t, f.Check()
}

func (c *Config) parseClasses(f *inifile.File) {
	const day = 24 * time.Hour
	for _, s := range f.Sections("workload ") {
		c.ClassNames = append(c.ClassNames, strings.TrimPrefix(s.Name, "workload "))
		c.Priorities = append(c.Priorities, s.Float("importance", 1, 0, 1e6))
		class := control.Class{
			LatencyObjective: micros(s.Duration("start_target", time.Second, time.Millisecond, day)),
			MaxDeadline:      micros(s.Duration("time_limit", 10*time.Second, time.Millisecond, day)),
			ObjectivePerWork: s.Float("stretch", 0, 0, 1000),
			Effect:           control.Effect(s.OneOf("effect", "run-once", "restartable", "fingerprinted", "run-once")),
			Scope:            control.Scope(s.OneOf("group", "fleet", "fleet", "zone", "cell")),
			Window:           micros(s.Duration("window", 0, 0, day)),
		}
		if class.Effect == control.IdempotentByKey && class.Window == 0 {
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

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func parseAddress(s *inifile.Section, key, fallback string) string {
	v := s.String(key, fallback)
	if host, port, err := net.SplitHostPort(v); err != nil || host == "" || port == "" {
		s.Errorf(key, "%q is no address with a port", v)
	}
	return v
}

// NeedRestart names the parts of the settings that differ and can't change in service: all but the log level.
func ChangesNeedingRestart(old, fresh *Config) []string {
	var names []string
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*fresh)
	for i := range a.NumField() {
		if name := a.Type().Field(i).Name; name != "LogLevel" && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
