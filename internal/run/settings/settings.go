// Package settings reads and checks the settings of a node.
//
// Settings are TOML with Pascal case keys. Reading is strict: an unknown key, a
// wrong type or a value out of range is an error that names the file, the line,
// the key and what is accepted, and all the errors come at once. Defaults are
// set in one place, before the file is read.
//
// # Usage
//
//	node, err := settings.Load("node.toml")
//	if err != nil { fmt.Println(err) } // one line for each mistake
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

// Node is the tree of a node's settings.
type Node struct {
	// Name is the node's name in logs and dumps.
	Name string
	// Region and DataCentre say where the node is.
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

// Listen holds the addresses, host:port, that the node serves at.
type Listen struct {
	// Caller is for callers, behind the platform's balancer.
	Caller string
	// Operator is for operators and should not be reachable by callers.
	Operator string
	// Peer is for other nodes, which must be able to connect to it.
	Peer string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	LogService   string
	InstanceList string
	WeightStore  string
}

// Peers names nodes to start from when the instance list does not answer.
type Peers struct {
	Seeds []string
}

// Engines says how the engines behave.
type Engines struct {
	// UncheckedDomains are the fabric domains whose engines ignore fencing
	// numbers; "*" stands for all.
	UncheckedDomains []string
	// GraceSeconds is how long a silent member is waited for before its group
	// is taken apart.
	GraceSeconds int
}

// Model is a model that classes can name.
type Model struct {
	Name string
	// GroupSize is how many instances one replica spans.
	GroupSize int
	// GroupsWanted bounds the groups a fabric domain; 0 is as many as fit.
	GroupsWanted int
}

// Service is a plain service beside the engines.
type Service struct {
	Name string
	// Repeatable lists the methods whose calls may be sent more than once.
	Repeatable []string
	// ChecksFencing says whether its servers check fencing numbers.
	ChecksFencing bool
}

// Prices weigh the two measures of the deployment against each other.
type Prices struct {
	// GroupDowntime is the price of a second in which a group does not serve.
	GroupDowntime float64
	// StrandedInstance is the price of a second of a healthy idle instance.
	StrandedInstance float64
}

// Limits bounds what the node takes.
type Limits struct {
	MaxBodyBytes int64
	// BookingWindowMinutes is how long a key and its answer are kept.
	BookingWindowMinutes int
	// Requests is how many requests are remembered for explanation.
	JournalRequests int
}

// Stopping says how the node shuts down.
type Stopping struct {
	// NoticeSeconds is how long the node goes on taking requests after it has
	// said that it is not ready, so that the balancer can notice.
	NoticeSeconds int
	// DrainSeconds bounds how long it waits for what is in flight.
	DrainSeconds int
}

// Default returns the settings before a file is read.
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

// Mistake is one thing that is wrong in a file.
type Mistake struct {
	File     string
	Line     int
	Key      string
	Accepted string
}

// Error tells where the mistake is and what would be accepted.
func (mistake Mistake) Error() string {
	place := mistake.File
	if mistake.Line > 0 {
		place = fmt.Sprintf("%s:%d", mistake.File, mistake.Line)
	}
	return fmt.Sprintf("%s: %s: %s", place, mistake.Key, mistake.Accepted)
}

// Mistakes is everything that is wrong in a file.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (mistakes Mistakes) Error() string {
	lines := make([]string, 0, len(mistakes))
	for _, mistake := range mistakes {
		lines = append(lines, mistake.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads a node's settings from a file.
func Load(path string) (Node, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings; name a TOML file with --settings")
	}
	return Parse(path, body)
}

// Parse reads a node's settings from the body of a file. The error is Mistakes.
func Parse(file string, body []byte) (Node, error) {
	node := Default()
	tree := map[string]any{}
	if err := toml.NewDecoder(bytes.NewReader(body)).Decode(&tree); err != nil {
		return Node{}, Mistakes{syntaxMistake(file, err)}
	}
	finder := &finder{file: file, lines: keyLines(body)}
	mistakes := decode(tree, &node, finder)
	if len(mistakes) == 0 {
		mistakes = check(&node, finder)
	}
	if len(mistakes) == 0 {
		return node, nil
	}
	slices.SortStableFunc(mistakes, func(a, b Mistake) int { return a.Line - b.Line })
	return Node{}, mistakes
}

func syntaxMistake(file string, err error) Mistake {
	var syntax *toml.DecodeError
	if !errors.As(err, &syntax) {
		return Mistake{File: file, Key: "syntax", Accepted: err.Error()}
	}
	line, _ := syntax.Position()
	return Mistake{File: file, Line: line, Key: strings.Join(syntax.Key(), "."), Accepted: "not TOML: " + syntax.Error()}
}

// decode fills the tree of settings and returns every key that does not fit.
func decode(tree map[string]any, node *Node, finder *finder) Mistakes {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: node, MatchName: func(key, field string) bool { return key == field },
	})
	if err != nil {
		return Mistakes{{File: finder.file, Accepted: err.Error()}}
	}
	mistakes := Mistakes{}
	for _, cause := range flatten(decoder.Decode(tree)) {
		mistakes = append(mistakes, typeMistake(cause, finder))
	}
	for _, key := range unknownKeys(tree, reflect.TypeFor[Node](), "") {
		mistakes = append(mistakes, finder.mistake(key, "there is no such key; "+acceptedKeys(key)))
	}
	return mistakes
}

func typeMistake(cause error, finder *finder) Mistake {
	var wrong *mapstructure.DecodeError
	if !errors.As(cause, &wrong) {
		return Mistake{File: finder.file, Accepted: cause.Error()}
	}
	var unconvertible *mapstructure.UnconvertibleTypeError
	if errors.As(cause, &unconvertible) {
		return finder.mistake(wrong.Name(), fmt.Sprintf("must be of type %s, not %T", unconvertible.Expected.Type(), unconvertible.Value))
	}
	return finder.mistake(wrong.Name(), wrong.Unwrap().Error())
}

// flatten returns the single errors of a tree of joined and wrapped ones.
func flatten(err error) []error {
	if err == nil {
		return nil
	}
	causes := []error{}
	switch wrapper := any(err).(type) {
	case *mapstructure.DecodeError:
		return []error{err}
	case interface{ Unwrap() []error }:
		for _, cause := range wrapper.Unwrap() {
			causes = append(causes, flatten(cause)...)
		}
	case interface{ Unwrap() error }:
		causes = flatten(wrapper.Unwrap())
	}
	if len(causes) == 0 {
		return []error{err}
	}
	return causes
}
