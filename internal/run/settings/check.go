package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
)

// rule is the result of one check. If valid is false, reason is reported for the key.
type rule struct {
	key    string
	valid  bool
	reason string
}

const (
	maxGroupSize            = 64
	maxBodyBytesLimit       = 64 << 20
	maxJournalRequests      = 1_000_000
	maxPrice                = 1e6
	maxGraceSeconds         = 600
	maxStoppingSeconds      = 3600
	maxBookingWindowMinutes = 7 * 24 * 60
)

// check returns an error for each value that is missing, malformed or out of range.
func check(node *Node, locator *keyLocator) ValidationErrors {
	rules := slices.Concat(identityRules(node), addressRules(node), modelRules(node), serviceRules(node), limitRules(node))
	validationErrors := ValidationErrors{}
	for _, rule := range rules {
		if !rule.valid {
			validationErrors = append(validationErrors, locator.errorAt(rule.key, rule.reason))
		}
	}
	return validationErrors
}

func identityRules(node *Node) []rule {
	const reason = "must be set to a name"
	return []rule{
		{"Name", node.Name != "", reason},
		{"Region", node.Region != "", reason},
		{"DataCentre", node.DataCentre != "", reason},
	}
}

func addressRules(node *Node) []rule {
	const addressFormat = "must be an IP address and port, such as 127.0.0.1:8080"
	const urlFormat = "must be a base URL, such as http://127.0.0.1:7000"
	rules := []rule{
		{"Listen.Caller", isAddress(node.Listen.Caller), addressFormat},
		{"Listen.Operator", isAddress(node.Listen.Operator), addressFormat},
		{"Listen.Peer", isAddress(node.Listen.Peer), addressFormat},
		{"Platform.LogService", isURL(node.Platform.LogService), urlFormat},
		{"Platform.InstanceList", isURL(node.Platform.InstanceList), urlFormat},
		{"Platform.WeightStore", isURL(node.Platform.WeightStore), urlFormat},
	}
	for _, seed := range node.Peers.Seeds {
		rules = append(rules, rule{"Peers.Seeds", isAddress(seed), fmt.Sprintf("%q %s", seed, addressFormat)})
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

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func serviceRules(node *Node) []rule {
	rules := []rule{}
	seen := map[string]bool{}
	for index, service := range node.Services {
		key := fmt.Sprintf("Services[%d]", index)
		rules = append(rules, rule{key + ".Name", service.Name != "" && !seen[service.Name], "must be set, once for each service"})
		seen[service.Name] = true
		for _, method := range service.Repeatable {
			rules = append(rules, rule{key + ".Repeatable", slices.Contains(httpMethods, method), fmt.Sprintf("%q must be one of %v", method, httpMethods)})
		}
	}
	return rules
}

func limitRules(node *Node) []rule {
	return []rule{
		{"Engines.GraceSeconds", inRange(node.Engines.GraceSeconds, 1, maxGraceSeconds), fmt.Sprintf("must be 1 to %d", maxGraceSeconds)},
		{"Prices.GroupDowntime", node.Prices.GroupDowntime > 0 && node.Prices.GroupDowntime <= maxPrice, fmt.Sprintf("must be over 0 and at most %g", maxPrice)},
		{"Prices.StrandedInstance", node.Prices.StrandedInstance >= 0 && node.Prices.StrandedInstance <= maxPrice, fmt.Sprintf("must be 0 to %g", maxPrice)},
		{"Limits.MaxBodyBytes", node.Limits.MaxBodyBytes >= 1024 && node.Limits.MaxBodyBytes <= maxBodyBytesLimit, fmt.Sprintf("must be 1024 to %d", maxBodyBytesLimit)},
		{"Limits.BookingWindowMinutes", inRange(node.Limits.BookingWindowMinutes, 5, maxBookingWindowMinutes), fmt.Sprintf("must be 5 to %d", maxBookingWindowMinutes)},
		{"Limits.JournalRequests", inRange(node.Limits.JournalRequests, 1, maxJournalRequests), fmt.Sprintf("must be 1 to %d", maxJournalRequests)},
		{"Stopping.NoticeSeconds", inRange(node.Stopping.NoticeSeconds, 0, maxStoppingSeconds), fmt.Sprintf("must be 0 to %d", maxStoppingSeconds)},
		{"Stopping.DrainSeconds", inRange(node.Stopping.DrainSeconds, 1, maxStoppingSeconds), fmt.Sprintf("must be 1 to %d", maxStoppingSeconds)},
	}
}

func inRange(value, minimum, maximum int) bool {
	return value >= minimum && value <= maximum
}
