package setup

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/fleet"
)

// Version is the program version, as printed by --version.
const Version = "0.1.0"

// EnvPrefix is the prefix of the environment variable of each setting. For example, LOVAGEFORK_PEER_LISTEN sets
// --peer-listen.
const EnvPrefix = "LOVAGEFORK_"

// setting describes a flag: its default, the allowed values, its help text, and a function that stores a value in the
// settings and reports whether it is valid.
type setting struct {
	flag          string
	defaultValue  string
	allowedValues string
	help          string
	apply         func(*Settings, string) bool
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

const nameSyntax = "1 to 63 letters, digits, '.', '_' or '-'"

var allSettings = []setting{
	{"entry-host", "", nameSyntax, "name of this entry host", func(s *Settings, v string) bool {
		s.EntryHost = fleet.EntryHostID(v)
		return namePattern.MatchString(v)
	}},
	{"availability-zone", "", nameSyntax, "availability zone of this entry host", func(s *Settings, v string) bool {
		s.Zone = fleet.AvailabilityZone(v)
		return namePattern.MatchString(v)
	}},
	{"listen", "127.0.0.1:7100", "ip:port", "address for callers and operators", func(s *Settings, v string) bool {
		s.Listen = v
		return isAddress(v)
	}},
	{"peer-listen", "127.0.0.1:7200", "ip:port", "address for other entry processes", func(s *Settings, v string) bool {
		s.PeerListen = v
		return isAddress(v)
	}},
	{"roster", "", "name=zone=ip:port, separated by commas", "all entry hosts, this one included; may be repeated", applyRoster},
	{"store", "http://127.0.0.1:2379", "an http or https URL", "URL of the platform's key-value store", func(s *Settings, v string) bool {
		return applyURL(&s.StoreURL, v)
	}},
	{"hosts-url", "http://127.0.0.1:7300", "an http or https URL", "URL of the platform's host list", func(s *Settings, v string) bool {
		return applyURL(&s.HostsURL, v)
	}},
	{"zones", "", "names separated by commas", "all availability zones that have workers", applyZones},
	{"partitions-per-zone", "2", "1 to 64", "partitions of each availability zone; equal at all entry hosts", func(s *Settings, v string) bool {
		return applyInt(&s.PartitionsPerZone, v, 1, 64)
	}},
	{"outage-horizon", "75m", "10s to 24h", "how long task leases are renewed while the store is down", func(s *Settings, v string) bool {
		return applyDuration(&s.OutageHorizon, v, 10*time.Second, 24*time.Hour)
	}},
	{"slowdown-limit", "1.8", "1.05 to 10", "slowdown of an urgent task at which batch work is throttled or moved; lower favours latency", func(s *Settings, v string) bool {
		limit, err := strconv.ParseFloat(v, 64)
		s.SlowdownLimit = limit
		return err == nil && limit >= 1.05 && limit <= 10
	}},
	{"store-writes", "300", "8 to 100000 calls per second", "store writes of all entry processes together", func(s *Settings, v string) bool {
		return applyInt(&s.StoreWritesPerSecond, v, 8, 100000)
	}},
	{"store-reads", "1500", "8 to 100000 calls per second", "store reads of all entry processes together", func(s *Settings, v string) bool {
		return applyInt(&s.StoreReadsPerSecond, v, 8, 100000)
	}},
	{"drain-notice", "5s", "0s to 5m", "time between failing readiness and refusing requests", func(s *Settings, v string) bool {
		return applyDuration(&s.DrainNotice, v, 0, 5*time.Minute)
	}},
	{"drain-timeout", "60s", "1s to 30m", "longest wait for requests in flight at shutdown", func(s *Settings, v string) bool {
		return applyDuration(&s.DrainTimeout, v, time.Second, 30*time.Minute)
	}},
	{"certificate", "", "a file name", "PEM certificate for callers; empty for plain HTTP", func(s *Settings, v string) bool {
		s.CertFile = v
		return true
	}},
	{"key", "", "a file name", "PEM key of --certificate", func(s *Settings, v string) bool {
		s.KeyFile = v
		return true
	}},
	{"peer-certificate", "", "a file name", "PEM certificate for links between entry processes", func(s *Settings, v string) bool {
		s.PeerCertFile = v
		return true
	}},
	{"peer-key", "", "a file name", "PEM key of --peer-certificate", func(s *Settings, v string) bool {
		s.PeerKeyFile = v
		return true
	}},
	{"peer-ca", "", "a file name", "PEM certificates that sign the peers' certificates", func(s *Settings, v string) bool {
		s.PeerCAFile = v
		return true
	}},
	{"debug-listen", "", "ip:port, or empty", "address of the Go profiler; empty for none", func(s *Settings, v string) bool {
		s.DebugListen = v
		return v == "" || isAddress(v)
	}},
	{"log-level", "info", "debug, info, warn or error", "least severe level that is logged", func(s *Settings, v string) bool {
		return s.LogLevel.UnmarshalText([]byte(v)) == nil && strings.ToLower(s.LogLevel.String()) == v
	}},
	{"log-format", "text", "text or json", "format of log lines", func(s *Settings, v string) bool {
		s.LogFormat = v
		return v == "text" || v == "json"
	}},
}

// Parse reads and validates the settings from args (without the program name) and environ ("NAME=value"). Flags take
// precedence over environment variables.
//
// Its error is an [*Error] or an [*EnvError]. Unknown flags, --help and --version make flaggy exit the process.
func Parse(args, environ []string) (Settings, error) {
	defaults, err := valuesFromEnv(environ)
	if err != nil {
		return Settings{}, err
	}
	parsed, err := parseFlags(args, defaults)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{LogLevel: slog.LevelInfo}
	for i, def := range allSettings {
		if !def.apply(&s, parsed[i]) {
			return Settings{}, &Error{def.flag, parsed[i], def.allowedValues}
		}
	}
	return s, s.validate()
}

func envName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// valuesFromEnv returns a value for each setting: that of its environment variable, or the default.
func valuesFromEnv(environ []string) ([]string, error) {
	values := make([]string, len(allSettings))
	index := make(map[string]int, len(allSettings))
	for i, def := range allSettings {
		values[i] = def.defaultValue
		index[envName(def.flag)] = i
	}
	for _, variable := range environ {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, EnvPrefix) {
			continue
		}
		i, known := index[name]
		if !known {
			return nil, &EnvError{Name: name}
		}
		values[i] = value
	}
	return values, nil
}

// parseFlags returns a value for each setting: those of its flag, joined with commas, or the one in defaults.
func parseFlags(args, defaults []string) ([]string, error) {
	parser := flaggy.NewParser("entryd")
	parser.Version = Version
	parser.ShowCompletion = false
	parser.Description = "entry daemon of lovagefork: takes requests and jobs, owns partitions of workers"
	values := make([]string, len(allSettings))
	lists := make([][]string, len(allSettings))
	for i, def := range allSettings {
		parser.StringSlice(&lists[i], "", def.flag, helpText(def))
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, &Error{"", strings.Join(args, " "), "flags as --help lists them: " + err.Error()}
	}
	for i := range allSettings {
		values[i] = defaults[i]
		if len(lists[i]) > 0 {
			values[i] = strings.Join(lists[i], ",")
		}
	}
	return values, nil
}

func helpText(def setting) string {
	text := fmt.Sprintf("%s (%s; $%s", def.help, def.allowedValues, envName(def.flag))
	if def.defaultValue != "" {
		text += "; default " + def.defaultValue
	}
	return text + ")"
}

func isAddress(v string) bool {
	address, err := netip.ParseAddrPort(v)
	return err == nil && address.IsValid()
}

func applyURL(target **url.URL, v string) bool {
	parsed, err := url.Parse(v)
	if err != nil || parsed.Host == "" {
		return false
	}
	*target = parsed
	host, _, splitErr := net.SplitHostPort(parsed.Host)
	if splitErr != nil {
		host = parsed.Host
	}
	return host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func applyInt(target *int, v string, low, high int) bool {
	n, err := strconv.Atoi(v)
	*target = n
	return err == nil && n >= low && n <= high
}

func applyDuration(target *time.Duration, v string, low, high time.Duration) bool {
	d, err := time.ParseDuration(v)
	*target = d
	return err == nil && d >= low && d <= high
}

func applyZones(s *Settings, v string) bool {
	seen := make(map[string]bool)
	for name := range strings.SplitSeq(v, ",") {
		if !namePattern.MatchString(name) || seen[name] {
			return false
		}
		seen[name] = true
		s.Zones = append(s.Zones, fleet.AvailabilityZone(name))
	}
	return true
}

func applyRoster(s *Settings, v string) bool {
	for part := range strings.SplitSeq(v, ",") {
		fields := strings.Split(part, "=")
		if len(fields) != 3 || !namePattern.MatchString(fields[0]) || !namePattern.MatchString(fields[1]) || !isAddress(fields[2]) {
			return false
		}
		s.Roster = append(s.Roster, Member{
			ID:      fleet.EntryHostID(fields[0]),
			Zone:    fleet.AvailabilityZone(fields[1]),
			Address: fields[2],
		})
	}
	return true
}
