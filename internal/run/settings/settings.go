// Package settings reads and validates the settings of a node.
//
// Settings are written in TOML with keys in PascalCase. Parsing is strict: an unknown key, a wrong type or a value out
// of range is an error that names the file, the line, the key and what is accepted. All errors of a file are returned
// together. Default holds all default values; the file overrides them.
//
// # Usage
//
//	node, err := settings.Load("node.toml")
//	if err != nil { fmt.Println(err) } // one line for each validation error
package settings

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"
)

// Node holds the settings of a node.
type Node struct {
	// Name identifies the node in logs and state dumps.
	Name string
	// Region and DataCentre are the location of the node.
	Region     string
	DataCentre string
	Listen     Listen
	Platform   Platform
	Peers      Peers
	Engines    Engines
	Models     []Model
	Services   []Service
	Prices     Prices
	Limits     Limits
	Stopping   Stopping
}

// Listen holds the addresses (host:port) at which the node listens.
type Listen struct {
	// Caller is the address for callers. It is reached through the platform's load balancer.
	Caller string
	// Operator is the address for operators. It should not be reachable by callers.
	Operator string
	// Peer is the address for other nodes. They must be able to connect to it.
	Peer string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	LogService   string
	InstanceList string
	WeightStore  string
}

// Peers holds the addresses of seed nodes, through which the node finds its peers when the instance list does not
// respond.
type Peers struct {
	Seeds []string
}

// Engines holds the settings for the engines.
type Engines struct {
	// UncheckedDomains lists the fabric domains whose engines do not check fencing numbers; "*" stands for all domains.
	UncheckedDomains []string
	// GraceSeconds is how long a member may be unresponsive before its group is retired.
	GraceSeconds int
}

// Model describes a model that classes can refer to.
type Model struct {
	Name string
	// GroupSize is the number of instances in one group, which runs one replica of the model.
	GroupSize int
	// GroupsWanted is the maximum number of groups in a fabric domain; 0 means as many as fit.
	GroupsWanted int
}

// Service describes a service other than the engines, to which the node forwards calls.
type Service struct {
	Name string
	// Repeatable lists the HTTP methods that are idempotent for this service: such a call may be sent more than once.
	Repeatable []string
	// ChecksFencing states whether the servers of the service check fencing numbers.
	ChecksFencing bool
}

// Prices weighs downtime of groups against idle instances.
type Prices struct {
	// GroupDowntime is the price of one second during which a group does not serve.
	GroupDowntime float64
	// StrandedInstance is the price of one second during which a healthy instance is idle.
	StrandedInstance float64
}

// Limits bounds the requests that the node accepts and the records that it keeps.
type Limits struct {
	MaxBodyBytes int64
	// BookingWindowMinutes is how long an idempotency key and the response to its call are kept.
	BookingWindowMinutes int
	// JournalRequests is the number of recent requests that the journal keeps, for operators to look up.
	JournalRequests int
}

// Stopping holds the settings for a graceful shutdown.
type Stopping struct {
	// NoticeSeconds is how long the node still accepts requests after it has begun to report that it is not ready, so
	// that the load balancer has time to take it out of rotation.
	NoticeSeconds int
	// DrainSeconds is the maximum time that the node waits for requests in flight.
	DrainSeconds int
}

// Default returns the default settings, which the settings file overrides.
func Default() Node {
	return Node{
		Listen: Listen{Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Peer: "127.0.0.1:8082"},
		Platform: Platform{
			LogService: "http://127.0.0.1:7000", InstanceList: "http://127.0.0.1:7001", WeightStore: "http://127.0.0.1:7002",
		},
		Engines:  Engines{GraceSeconds: 6},
		Prices:   Prices{GroupDowntime: 4, StrandedInstance: 1},
		Limits:   Limits{MaxBodyBytes: 1 << 20, BookingWindowMinutes: 360, JournalRequests: 2048},
		Stopping: Stopping{NoticeSeconds: 5, DrainSeconds: 120},
	}
}

// ValidationError describes one invalid entry in a settings file.
type ValidationError struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// Error returns the location, the key and the reason, which states what is accepted.
func (validationError ValidationError) Error() string {
	location := validationError.File
	if validationError.Line > 0 {
		location = fmt.Sprintf("%s:%d", validationError.File, validationError.Line)
	}
	return fmt.Sprintf("%s: %s: %s", location, validationError.Key, validationError.Reason)
}

// ValidationErrors holds all validation errors of a file.
type ValidationErrors []ValidationError

// Error returns one line for each validation error.
func (validationErrors ValidationErrors) Error() string {
	lines := make([]string, 0, len(validationErrors))
	for _, validationError := range validationErrors {
		lines = append(lines, validationError.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads a node's settings from a file.
func Load(path string) (Node, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "read the settings file; set the path of a TOML file with --settings")
	}
	return Parse(path, body)
}

// Parse reads a node's settings from the body of a file. An error is of type ValidationErrors, sorted by line.
func Parse(file string, body []byte) (Node, error) {
	node := Default()
	tree := map[string]any{}
	if err := toml.NewDecoder(bytes.NewReader(body)).Decode(&tree); err != nil {
		return Node{}, ValidationErrors{newSyntaxError(file, err)}
	}
	locator := &keyLocator{file: file, lines: keyLines(body)}
	validationErrors := decode(tree, &node, locator)
	if len(validationErrors) == 0 {
		validationErrors = check(&node, locator)
	}
	if len(validationErrors) == 0 {
		return node, nil
	}
	slices.SortStableFunc(validationErrors, func(a, b ValidationError) int { return a.Line - b.Line })
	return Node{}, validationErrors
}

func newSyntaxError(file string, err error) ValidationError {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return ValidationError{File: file, Key: "syntax", Reason: err.Error()}
	}
	line, _ := decodeError.Position()
	return ValidationError{File: file, Line: line, Key: strings.Join(decodeError.Key(), "."), Reason: "invalid TOML: " + decodeError.Error()}
}

// decode copies a decoded TOML tree into node. It returns an error for each key that is unknown or has the wrong type.
func decode(tree map[string]any, node *Node, locator *keyLocator) ValidationErrors {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: node, MatchName: func(key, field string) bool { return key == field },
	})
	if err != nil {
		return ValidationErrors{{File: locator.file, Reason: err.Error()}}
	}
	validationErrors := ValidationErrors{}
	for _, cause := range flattenErrors(decoder.Decode(tree)) {
		validationErrors = append(validationErrors, newTypeError(cause, locator))
	}
	for _, key := range unknownKeys(tree, reflect.TypeFor[Node](), "") {
		validationErrors = append(validationErrors, locator.errorAt(key, "unknown key; "+acceptedKeys(key)))
	}
	return validationErrors
}

func newTypeError(cause error, locator *keyLocator) ValidationError {
	var decodeError *mapstructure.DecodeError
	if !errors.As(cause, &decodeError) {
		return ValidationError{File: locator.file, Reason: cause.Error()}
	}
	var typeError *mapstructure.UnconvertibleTypeError
	if errors.As(cause, &typeError) {
		return locator.errorAt(decodeError.Name(), fmt.Sprintf("must be of type %s, not %T", typeError.Expected.Type(), typeError.Value))
	}
	return locator.errorAt(decodeError.Name(), decodeError.Unwrap().Error())
}

// flattenErrors returns the individual errors in a tree of joined and wrapped errors.
func flattenErrors(err error) []error {
	if err == nil {
		return nil
	}
	causes := []error{}
	switch wrapping := any(err).(type) {
	case *mapstructure.DecodeError:
		return []error{err}
	case interface{ Unwrap() []error }:
		for _, cause := range wrapping.Unwrap() {
			causes = append(causes, flattenErrors(cause)...)
		}
	case interface{ Unwrap() error }:
		causes = flattenErrors(wrapping.Unwrap())
	}
	if len(causes) == 0 {
		return []error{err}
	}
	return causes
}
