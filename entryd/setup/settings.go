package setup

import (
	"fmt"
	"log/slog"
	"net/url"
	"time"

	"lovagefork.example/coord/fleet"
)

// Member is one entry host of the roster with the IP address and port of its peer listener.
type Member struct {
	ID      fleet.EntryHostID
	Zone    fleet.AvailabilityZone
	Address string
}

// Settings is the checked configuration of one entry daemon.
type Settings struct {
	EntryHost         fleet.EntryHostID
	Zone              fleet.AvailabilityZone
	Listen            string
	PeerListen        string
	Roster            []Member
	StoreURL             *url.URL
	HostsURL             *url.URL
	Zones             []fleet.AvailabilityZone
	PartitionsPerZone int

	OutageHorizon time.Duration
	SlowdownLimit float64
	StoreWritesPerSecond   int
	StoreReadsPerSecond    int

	DrainNotice  time.Duration
	DrainTimeout time.Duration

	CertFile     string
	KeyFile             string
	PeerCertFile string
	PeerKeyFile         string
	PeerCAFile          string

	DebugListen string
	LogLevel    slog.Level
	LogFormat   string
}

// Addresses maps every entry host of the roster to its peer address.
func (s Settings) Addresses() map[fleet.EntryHostID]string {
	addresses := make(map[fleet.EntryHostID]string, len(s.Roster))
	for _, m := range s.Roster {
		addresses[m.ID] = m.Address
	}
	return addresses
}

// Partitions lists every partition of the system.
func (s Settings) Partitions() []fleet.PartitionID {
	return fleet.Partitions(s.Zones, s.PartitionsPerZone)
}

// Error reports a setting with a value that is not allowed.
type Error struct {
	Flag    string
	Value   string
	Allowed string
}

// Error names the flag, its value and what is allowed.
func (e *Error) Error() string {
	return fmt.Sprintf("--%s: value %q is not allowed: want %s", e.Flag, e.Value, e.Allowed)
}

// EnvError reports an environment variable with the daemon's prefix that is no setting.
type EnvError struct {
	Name string
}

// Error names the variable.
func (e *EnvError) Error() string {
	return fmt.Sprintf("environment variable %s is not a setting; see --help for the list", e.Name)
}

// check reports the first combination of settings that does not fit together.
func (s Settings) check() error {
	own := false
	zones := make(map[fleet.AvailabilityZone]bool, len(s.Zones))
	for _, z := range s.Zones {
		zones[z] = true
	}
	seen := make(map[fleet.EntryHostID]bool, len(s.Roster))
	for _, m := range s.Roster {
		if seen[m.ID] {
			return &Error{"roster", string(m.ID), "each entry host once"}
		}
		seen[m.ID] = true
		if !zones[m.Zone] {
			return &Error{"roster", string(m.Zone), "an availability zone listed in --zones"}
		}
		if m.ID == s.EntryHost {
			own = true
			if m.Zone != s.Zone {
				return &Error{"availability-zone", string(s.Zone), "the zone of this entry host in --roster, " + string(m.Zone)}
			}
			if m.Address != s.PeerListen {
				return &Error{"peer-listen", s.PeerListen, "the address of this entry host in --roster, " + m.Address}
			}
		}
	}
	if !own {
		return &Error{"entry-host", string(s.EntryHost), "an entry host listed in --roster"}
	}
	return s.checkKeys()
}

func (s Settings) checkKeys() error {
	if (s.CertFile == "") != (s.KeyFile == "") {
		return &Error{"key", s.KeyFile, "both --certificate and --key, or neither"}
	}
	set := 0
	for _, file := range []string{s.PeerCertFile, s.PeerKeyFile, s.PeerCAFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return &Error{"peer-key", s.PeerKeyFile, "all of --peer-certificate, --peer-key and --peer-ca, or none"}
	}
	return nil
}
