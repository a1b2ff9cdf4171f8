package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scene is one play of a case: its temporary folder, its record and the processes that it has started.
type scene struct {
	trouble bool // false: the same without the disruption
	dir     string
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// newScene opens the record in a case's folder.
func newScene(folder string) (*scene, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	s.note("trouble: %v", s.trouble)
	return s, nil
}

// note writes a line with the time since the beginning to the record and to standard output.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// recordOnly writes a line to the record alone.
func (s *scene) recordOnly(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and removes the temporary folder.
func (s *scene) end() {
	for _, p := range s.processes { // in the order of their starts
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
	s.record.Close()
}

// check ends the case as one that could not run.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// file writes a file in the temporary folder and returns its path. It is written aside and renamed.
func (s *scene) file(name, text string) string {
	path := filepath.Join(s.dir, name)
	check(os.WriteFile(path+".new", []byte(text), 0o600))
	check(os.Rename(path+".new", path))
	return path
}

// process is a process of the case.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a process. Its output goes to NAME.log in the temporary folder. It ends with this one.
func (s *scene) start(name string, env []string, command string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer out.Close()
	p := &process{name: name, cmd: exec.Command(command, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = out, out, append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(p.cmd.Start())
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	return p
}

// kill ends a process at once and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// log returns what a process has written so far.
func (s *scene) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	return string(text)
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// await waits until a condition holds; otherwise the case could not run.
func await(what string, within time.Duration, condition func() bool) {
	for end := time.Now().Add(within); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic("not in time: " + what)
		}
	}
}

// deployCommand returns a command of deploy/balancer.toml.
func deployCommand(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	check(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	panic("no command " + key + " in deploy/balancer.toml")
}
