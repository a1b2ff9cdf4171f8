package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const forecastWorkloads = `
[workload forecast]
start_target = 1s
time_limit = 4s
effect = restartable
[function *]
workload = forecast
lanes = 4
`

// doubleWorker answers each request with the request's id, and some answers a second time a few milliseconds later.
type doubleWorker struct {
	listener net.Listener
	double   func() bool
}

func startDoubleWorker(double func() bool) *doubleWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w := &doubleWorker{l, double}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *doubleWorker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		io.WriteString(conn, text)
	}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		var asked struct {
			ID string `json:"id"`
		}
		json.Unmarshal(body, &asked)
		time.Sleep(20 * time.Millisecond)
		text := fmt.Sprintf(`{"id":%q,"model_name":"forecast","outputs":[],"parameters":{"found":"warm"}}`, asked.ID)
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		write(text)
		if w.double() {
			time.AfterFunc(5*time.Millisecond, func() { write(text) })
		}
	}
}

// secondAnswer: workers send some answers a second time, some milliseconds late. The router has sent another client's request on the
// connection by then, and gives that client the first one's answer.
func secondAnswer(s *scene) bool {
	random, mu := rand.New(rand.NewPCG(10, 10)), sync.Mutex{}
	doubled := 0
	double := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !s.trouble || random.Float64() >= 0.02 {
			return false
		}
		doubled++
		return true
	}
	var workers []listedWorker
	for range 2 {
		w := startDoubleWorker(double)
		defer w.listener.Close()
		workers = append(workers, listedWorker{w.listener.Addr().String(), "c1", s.began.Add(-time.Hour)})
	}
	g := s.startGateway(gatewaySettings{number: 0, routers: 1, workloads: forecastWorkloads}, s.endpointList(workers...), nil)
	time.Sleep(1100 * time.Millisecond)
	foreign, total := 0, 0
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			pool := &http.Client{Transport: &http.Transport{}}
			for i := range 100 {
				id := fmt.Sprintf("client-%d-request-%d", n, i)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				req, err := http.NewRequestWithContext(ctx, "POST", "http://"+g.listen+"/v2/models/forecast-1/infer",
					strings.NewReader(fmt.Sprintf(`{"id":%q,"inputs":[]}`, id)))
				check(err)
				resp, err := pool.Do(req)
				if err != nil {
					s.note("%s: %v", id, err)
					cancel()
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				cancel()
				var got struct {
					ID string `json:"id"`
				}
				json.Unmarshal(body, &got)
				mu.Lock()
				total++
				if resp.StatusCode == 200 && got.ID != id {
					if foreign++; foreign <= 5 {
						s.note("%s was served the answer to %s", id, got.ID)
					}
					s.recordOnly("%s: FOREIGN %d %s", id, resp.StatusCode, body)
				} else {
					s.recordOnly("%s: %d %s", id, resp.StatusCode, body)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	s.note("%d requests, %d answers came twice, %d clients were served another's answer", total, doubled, foreign)
	return foreign == 0
}
