package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/peer/logservice"
)

// LogFaults sets the injected faults of a Log. Log.SetFaults and POST /faults replace them at any time.
type LogFaults struct {
	// Dark makes the log unavailable: every request fails with status 503 and has no effect.
	Dark bool
	// LoseReplies makes every append take effect and then aborts the connection before the reply.
	LoseReplies bool
	// LatencyMs delays every request by this many milliseconds.
	LatencyMs int
	// StaleBy hides this many of the newest records from reads, as on a lagging replica.
	StaleBy int
}

// Log simulates the platform's log service in memory, with retention and a rate limit on appends.
type Log struct {
	retention        time.Duration
	appendsPerSecond float64

	mu         sync.Mutex
	faults     LogFaults
	streams    map[string]*stream
	tokens     float64
	refilledAt time.Time
	appends    uint64
}

type stream struct {
	earliest uint64
	records  []storedRecord
	appended chan struct{}
}

type storedRecord struct {
	body    []byte
	written time.Time
}

// LogOption configures a Log.
type LogOption func(*Log)

// Retention sets how long records are kept. The default is one day.
func Retention(retention time.Duration) LogOption {
	return func(log *Log) { log.retention = retention }
}

// AppendsPerSecond sets the limit on appends per second over all clients and streams. The default is 400.
func AppendsPerSecond(rate float64) LogOption {
	return func(log *Log) { log.appendsPerSecond = rate }
}

const (
	defaultRetention        = 24 * time.Hour
	defaultAppendsPerSecond = 400
)

// NewLog returns an empty log.
func NewLog(options ...LogOption) *Log {
	log := &Log{
		retention:        defaultRetention,
		appendsPerSecond: defaultAppendsPerSecond,
		streams:          map[string]*stream{},
		refilledAt:       time.Now(),
	}
	for _, option := range options {
		option(log)
	}
	log.tokens = log.appendsPerSecond
	return log
}

// SetFaults replaces the log's faults.
func (log *Log) SetFaults(faults LogFaults) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.faults = faults
}

// Appends returns the number of records appended so far.
func (log *Log) Appends() uint64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.appends
}

// Wipe deletes every record and stream, as if the log had been restored without data.
func (log *Log) Wipe() {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.streams = map[string]*stream{}
}

// DropBefore deletes the records of a stream before the offset, as retention does.
func (log *Log) DropBefore(name string, offset uint64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.stream(name).dropBefore(offset)
}

func (stream *stream) dropBefore(offset uint64) {
	for stream.earliest < offset && len(stream.records) > 0 {
		stream.records = stream.records[1:]
		stream.earliest++
	}
}

// Append adds a record directly, without faults or rate limit, and returns its offset.
func (log *Log) Append(name string, body []byte) uint64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.append(name, body)
}

func (log *Log) append(name string, body []byte) uint64 {
	stream := log.stream(name)
	stream.records = append(stream.records, storedRecord{body: body, written: time.Now()})
	log.appends++
	close(stream.appended)
	stream.appended = make(chan struct{})
	return stream.next() - 1
}

func (log *Log) stream(name string) *stream {
	found, ok := log.streams[name]
	if !ok {
		found = &stream{appended: make(chan struct{})}
		log.streams[name] = found
	}
	return found
}

func (stream *stream) next() uint64 {
	return stream.earliest + uint64(len(stream.records))
}

// Handler serves the log and its faults over HTTP.
func (log *Log) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/streams/:Stream/records", log.serveAppend)
	router.GET("/streams/:Stream/records", log.serveRead)
	router.POST("/faults", log.serveFaults)
	return router
}

func (log *Log) serveFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults LogFaults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	log.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

func (log *Log) serveAppend(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(request.Body, logservice.MaxRecordBytes+1))
	if err != nil || len(body) > logservice.MaxRecordBytes {
		http.Error(writer, "the record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	faults := log.simulateLatency()
	if faults.Dark {
		http.Error(writer, "the log is dark", http.StatusServiceUnavailable)
		return
	}
	offset, err := log.appendRateLimited(params.ByName("Stream"), body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusTooManyRequests)
		return
	}
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, logservice.AppendReply{Offset: offset})
}

func (log *Log) simulateLatency() LogFaults {
	log.mu.Lock()
	faults := log.faults
	log.mu.Unlock()
	if faults.LatencyMs > 0 {
		time.Sleep(time.Duration(faults.LatencyMs) * time.Millisecond)
	}
	return faults
}

func (log *Log) appendRateLimited(name string, body []byte) (uint64, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	now := time.Now()
	log.tokens = min(log.appendsPerSecond, log.tokens+now.Sub(log.refilledAt).Seconds()*log.appendsPerSecond)
	log.refilledAt = now
	if log.tokens < 1 {
		return 0, errors.New("too many appends this second")
	}
	log.tokens--
	return log.append(name, body), nil
}

func (log *Log) serveRead(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	from, maxRecords, wait, err := logservice.ParseReadQuery(request.URL.Query())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if log.simulateLatency().Dark {
		http.Error(writer, "the log is dark", http.StatusServiceUnavailable)
		return
	}
	page, grown := log.page(params.ByName("Stream"), from, maxRecords)
	if len(page.Records) == 0 && wait > 0 {
		waitForAppend(request, grown, wait)
		if log.simulateLatency().Dark {
			http.Error(writer, "the log is dark", http.StatusServiceUnavailable)
			return
		}
		page, _ = log.page(params.ByName("Stream"), from, maxRecords)
	}
	writeJSON(writer, page)
}

func waitForAppend(request *http.Request, grown <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-request.Context().Done():
	}
}

func (log *Log) page(name string, from uint64, maxRecords int) (logservice.Page, <-chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	log.expire(stream)
	next := stream.next() - min(uint64(log.faults.StaleBy), uint64(len(stream.records)))
	page := logservice.Page{Earliest: stream.earliest, Next: next}
	for offset := max(from, stream.earliest); offset < next && len(page.Records) < maxRecords; offset++ {
		body := stream.records[offset-stream.earliest].body
		page.Records = append(page.Records, logservice.Record{Offset: offset, Body: body})
	}
	return page, stream.appended
}

func (log *Log) expire(stream *stream) {
	oldest := time.Now().Add(-log.retention)
	for len(stream.records) > 0 && stream.records[0].written.Before(oldest) {
		stream.dropBefore(stream.earliest + 1)
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
