package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
)

// rule is one check: where it holds nothing is said.
type rule struct {
	key      string
	holds    bool
	accepted string
}

const (
	maxGroupSize    = 64
	maxBodyLimit    = 64 << 20
	maxJournal      = 1_000_000
	maxPrice        = 1e6
	maxGraceSeconds = 600
	maxDrain        = 3600
	maxWindow       = 7 * 24 * 60
)

// check returns every value that is out of range.
func check(node *Node, finder *finder) Mistakes {
	rules := slices.Concat(placeRules(node), addressRules(node), modelRules(node), serviceRules(node), limitRules(node))
	mistakes := Mistakes{}
	for _, rule := range rules {
		if !rule.holds {
			mistakes = append(mistakes, finder.mistake(rule.key, rule.accepted))
		}
	}
	return mistakes
}

func placeRules(node *Node) []rule {
	const accepted = "must be set to a name"
	return []rule{
		{"Name", node.Name != "", accepted},
		{"Region", node.Region != "", accepted},
		{"DataCentre", node.DataCentre != "", accepted},
	}
}

func addressRules(node *Node) []rule {
	const address = "must be an IP address and port, such as 127.0.0.1:8080"
	const base = "must be a base URL, such as http://127.0.0.1:7000"
	rules := []rule{
		{"Listen.Caller", isAddress(node.Listen.Caller), address},
		{"Listen.Operator", isAddress(node.Listen.Operator), address},
		{"Listen.Peer", isAddress(node.Listen.Peer), address},
		{"Platform.LogService", isURL(node.Platform.LogService), base},
		{"Platform.InstanceList", isURL(node.Platform.InstanceList), base},
		{"Platform.WeightStore", isURL(node.Platform.WeightStore), base},
	}
	for _, seed := range node.Peers.Seeds {
		rules = append(rules, rule{"Peers.Seeds", isAddress(seed), fmt.Sprintf("%q %s", seed, address)})
	}
	return rules
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= 65535
}

func isURL(value string) bool {
	parsed, err := url.Parse(value)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func modelRules(node *Node) []rule {
	rules := []rule{}
	seen := map[string]bool{}
	for index, model := range node.Models {
		key := fmt.Sprintf("Models[%d]", index)
		rules = append(
			rules,
			rule{key + ".Name", model.Name != "" && !seen[model.Name], "must be set, once for each model"},
			rule{key + ".GroupSize", model.GroupSize >= 1 && model.GroupSize <= maxGroupSize, fmt.Sprintf("must be 1 to %d", maxGroupSize)},
			rule{key + ".GroupsWanted", model.GroupsWanted >= 0, "must be 0, for as many as fit, or more"},
		)
		seen[model.Name] = true
	}
	return rules
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func serviceRules(node *Node) []rule {
	rules := []rule{}
	seen := map[string]bool{}
	for index, service := range node.Services {
		key := fmt.Sprintf("Services[%d]", index)
		rules = append(rules, rule{key + ".Name", service.Name != "" && !seen[service.Name], "must be set, once for each service"})
		seen[service.Name] = true
		for _, method := range service.Repeatable {
			rules = append(rules, rule{key + ".Repeatable", slices.Contains(methods, method), fmt.Sprintf("%q must be one of %v", method, methods)})
		}
	}
	return rules
}

func limitRules(node *Node) []rule {
	return []rule{
		{"Engines.GraceSeconds", between(node.Engines.GraceSeconds, 1, maxGraceSeconds), fmt.Sprintf("must be 1 to %d", maxGraceSeconds)},
		{"Prices.GroupDowntime", node.Prices.GroupDowntime > 0 && node.Prices.GroupDowntime <= maxPrice, fmt.Sprintf("must be over 0 and at most %g", maxPrice)},
		{"Prices.StrandedInstance", node.Prices.StrandedInstance >= 0 && node.Prices.StrandedInstance <= maxPrice, fmt.Sprintf("must be 0 to %g", maxPrice)},
		{"Limits.MaxBodyBytes", node.Limits.MaxBodyBytes >= 1024 && node.Limits.MaxBodyBytes <= maxBodyLimit, fmt.Sprintf("must be 1024 to %d", maxBodyLimit)},
		{"Limits.BookingWindowMinutes", between(node.Limits.BookingWindowMinutes, 5, maxWindow), fmt.Sprintf("must be 5 to %d", maxWindow)},
		{"Limits.JournalRequests", between(node.Limits.JournalRequests, 1, maxJournal), fmt.Sprintf("must be 1 to %d", maxJournal)},
		{"Stopping.NoticeSeconds", between(node.Stopping.NoticeSeconds, 0, maxDrain), fmt.Sprintf("must be 0 to %d", maxDrain)},
		{"Stopping.DrainSeconds", between(node.Stopping.DrainSeconds, 1, maxDrain), fmt.Sprintf("must be 1 to %d", maxDrain)},
	}
}

func between(value, least, most int) bool {
	return value >= least && value <= most
}
