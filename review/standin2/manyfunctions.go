package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// anonymousMB returns how much memory a process holds that is not mapped from files.
func anonymousMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// manyFunctions: a trial, no case. Each request is for another function, and all are served: functions are never forgotten once there are
// more than 16384. With TROUBLE=0 all requests are for 40 functions.
func manyFunctions(s *scene) bool {
	const memoryMB, length = 64, 60 * time.Second
	var targets []target
	for i := range 12 {
		m := startModelServer("127.0.0.1:0", func(f frame, answer func(byte, string, []byte)) {
			switch f.code {
			case 69:
				answer(97, "pods=1", nil)
			case 65:
				answer(97, "remark=booted", f.body)
			}
		})
		targets = append(targets, target{fmt.Sprintf("s-%08x", i), m.address(), "kent", "gen2", i / 4, "ready", 4, 0})
	}
	r := s.startRouter(startBoard(targets), map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 512}, kentSettings(nil), "")
	end := time.Now().Add(length)
	var sent, served atomic.Int64
	for range 20 {
		c, err := dialRouter(r.listen)
		check(err)
		defer c.conn.Close()
		open := make(chan struct{}, 30)
		go func() {
			dec := msgpack.NewDecoder(c.conn)
			for {
				v, err := dec.DecodeSlice()
				if err != nil {
					return
				}
				if v[2] == nil {
					served.Add(1)
				}
				<-open
			}
		}()
		go func() {
			for time.Now().Before(end) {
				open <- struct{}{}
				function := rand.Uint64()
				if !s.trouble {
					function = 1 + function%40
				}
				_, message := c.call("forecast", callFields(function, 4*time.Second), []byte("body"))
				c.conn.Write(message)
				sent.Add(1)
			}
		}()
	}
	most := 0.0
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		now := anonymousMB(r.cmd.Process.Pid)
		most = max(most, now)
		s.note("%.1f MB of memory (without what is mapped from files), %d MB granted; %d requests, %d served", now, memoryMB, sent.Load(), served.Load())
	}
	return most <= memoryMB
}
