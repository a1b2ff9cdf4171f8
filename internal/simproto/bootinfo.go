package simproto

import (
	"encoding/json"
	"errors"
	"fmt"
)

// BootInfo holds the start settings, a JSON object, that the callers read; unknown keys are ignored. Fields are named
// after their keys. Times are in microseconds.
type BootInfo struct {
	Balancers int `json:"balancers"`
	Ceilings  struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"conn_idle"`
		ConnectTimeout int64 `json:"connect_timeout"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		ParallelTries  bool  `json:"parallel_tries"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retry_after"`
		StreamsPerConn int   `json:"streams_per_conn"`
		TryLimit       int   `json:"try_limit"`
	} `json:"ceilings"`
	Classes []struct {
		Aim        int64   `json:"aim"`
		HardLimit  int64   `json:"hard_limit"`
		Stretch    float64 `json:"aim_stretch"`
		Importance float64 `json:"importance"`
		KeyScope   string  `json:"key_scope"`
		LateValue  float64 `json:"late_value"`
		Name       string  `json:"name"`
		Semantics  string  `json:"semantics"`
		Window     int64   `json:"window"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Contract struct {
		AskEvery     int64   `json:"ask_every"`
		Cold         int64   `json:"cold"`
		ColdFrom     float64 `json:"cold_from"`
		Fall         int64   `json:"fall"`
		FallMultiple float64 `json:"fall_multiple"`
		StopSending  int64   `json:"stop_sending_within"`
	} `json:"contract"`
	Customers []struct {
		AllowancePerS float64 `json:"allowance_per_s"`
		Name          string  `json:"name"`
	} `json:"customers"`
	Discovery string `json:"discovery"`
	Report    struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	SelfIndex int `json:"self_index"`
	Specifics struct {
		CountsAlike  bool      `json:"counts_alike"`
		KindMemoryMB []float64 `json:"kind_memory_mb"`
		LingerIdle   int64     `json:"linger_idle"`
		LoadControl  bool      `json:"load_control"`
		LoadPart     float64   `json:"load_part"`
		LoadWindow   int64     `json:"load_window"`
		LoadsAnyway  float64   `json:"loads_anyway"`
		MarksCold    bool      `json:"marks_cold"`
		OrderLimit   int64     `json:"order_limit"`
		WhenAbsent   string    `json:"when_absent"`
	} `json:"specifics"`
	Tick  int64    `json:"tick"`
	Zone  uint16   `json:"zone"`
	Zones []string `json:"zones"`
}

// errIncomplete is the error of start settings with which no router can run.
var errIncomplete = errors.New("no classes or no number of balancers")

// ParseBootInfo parses the start settings. It checks only what every caller needs.
func ParseBootInfo(text []byte) (*BootInfo, error) {
	var info BootInfo
	if err := json.Unmarshal(text, &info); err != nil {
		return nil, fmt.Errorf("start settings: %w", err)
	}
	if len(info.Classes) == 0 || info.Balancers < 1 {
		return nil, fmt.Errorf("start settings: %w", errIncomplete)
	}
	return &info, nil
}
