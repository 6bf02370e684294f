package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/locator"
)

func rootFields() []field {
	return []field{
		textField("name", "Unique name of the daemon. A daemon without one takes a random name at each start.",
			func(s *Settings) *string { return &s.Name }),
		textField("data_centre", "Data centre of the daemon; required.",
			func(s *Settings) *string { return &s.DataCentre }),
		addressField("callers_listen", "Address of the callers' port.",
			func(s *Settings) *netip.AddrPort { return &s.CallersListen }),
		addressField("peers_listen", "Address of the peers' port, to which other daemons connect.",
			func(s *Settings) *netip.AddrPort { return &s.PeersListen }),
		addressField("operators_listen", "Address of the operators' port, to which rillctl connects. An address other than loopback requires operators_token_digest.",
			func(s *Settings) *netip.AddrPort { return &s.OperatorsListen }),
		addressField("peers_advertise", "Address at which other daemons reach the peers' port; required if peers_listen is 0.0.0.0 or [::], otherwise peers_listen by default.",
			func(s *Settings) *netip.AddrPort { return &s.PeersAdvertise }),
		addressesField("platform", "Addresses of the platform's key-value service; required.",
			func(s *Settings) *[]netip.AddrPort { return &s.Platform }),
		addressesField("seed_peers", "Peers' ports of daemons to contact if the platform's host list cannot be read.",
			func(s *Settings) *[]netip.AddrPort { return &s.SeedPeers }),
		tokenField(),
		durationField("leave_notice", "How long a stopping daemon fails /readyz before it accepts no more connections.",
			func(s *Settings) *time.Duration { return &s.LeaveNotice }),
		durationField("drain_bound", "How long a stopping daemon waits for its open requests.",
			func(s *Settings) *time.Duration { return &s.DrainBound }),
		textField("first_configuration_file", "Operators' file to commit if the platform holds no configuration.",
			func(s *Settings) *string { return &s.FirstConfigurationFile }),
	}
}

func tokenField() field {
	return field{
		name: "operators_token_digest", form: `"sha256:" and 64 hexadecimal digits`,
		meaning: "Digest of the operators' token. Without it the operators' port accepts calls without a token.",
		read: func(node locator.Node, s *Settings) {
			text, ok := node.Text()
			if !ok {
				return
			}
			if s.OperatorsTokenDigest, ok = encoder.ParseDigest(text); !ok {
				node.FailHidden(`"sha256:" and the 64 hexadecimal digits of the token's SHA-256 digest`)
			}
		},
		show: func(*Settings) string { return "none" },
	}
}

func tlsFields() []field {
	return []field{
		textField("callers_certificate_file", "Certificate of the callers' port, in PEM.",
			func(s *Settings) *string { return &s.TLS.CallersCertificateFile }),
		textField("callers_key_file", "Private key of the callers' certificate, in PEM.",
			func(s *Settings) *string { return &s.TLS.CallersKeyFile }),
		textField("peers_certificate_file", "Certificate of the peers' port, in PEM.",
			func(s *Settings) *string { return &s.TLS.PeersCertificateFile }),
		textField("peers_key_file", "Private key of the peers' certificate, in PEM.",
			func(s *Settings) *string { return &s.TLS.PeersKeyFile }),
		textField("authority_file", "Certificate of the authority that signs the certificates of peers, in PEM.",
			func(s *Settings) *string { return &s.TLS.AuthorityFile }),
	}
}

func limitFields() []field {
	return []field{
		bytesField("memory_bytes", "Memory available to the process of rilld serve, in bytes. About half of it is for the bodies and answers of open requests; a request for which there is none is refused with no_memory.",
			func(s *Settings) *int { return &s.Limits.MemoryBytes }),
		bytesField("max_body_bytes", "Largest body of a request.",
			func(s *Settings) *int { return &s.Limits.MaxBodyBytes }),
		numberField("max_list_elements", "Maximum number of elements of all lists in the body of a model call together: its messages, their parts and others. A call with more is refused with bad_request.",
			func(s *Settings) *int { return &s.Limits.MaxListElements }),
		bytesField("max_header_bytes", "Largest header of a request.",
			func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
		durationField("header_timeout", "How long a caller may take to send the header.",
			func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout }),
		durationField("body_timeout", "How long a caller may take to send the body.",
			func(s *Settings) *time.Duration { return &s.Limits.BodyTimeout }),
		numberField("max_concurrent", "Maximum number of requests that the daemon has open at once.",
			func(s *Settings) *int { return &s.Limits.MaxConcurrent }),
		numberField("queue_length", "Maximum number of requests that wait for a target at once.",
			func(s *Settings) *int { return &s.Limits.QueueLength }),
		numberField("max_loads", "Maximum number of engines of the data centre that load weights at once.",
			func(s *Settings) *int { return &s.Limits.MaxLoads }),
		durationField("default_deadline", "Deadline of a request that names none.",
			func(s *Settings) *time.Duration { return &s.Limits.DefaultDeadline }),
	}
}

func logFields() []field {
	return []field{
		{
			name: "level", form: levelForm, meaning: "Lowest level that is logged.",
			read: func(node locator.Node, s *Settings) { s.Log.Level, _ = readLevel(node) },
			show: func(s *Settings) string { return showLevel(s.Log.Level) },
		},
		{
			name: "parts", form: "object of parts and levels", meaning: `Levels of single parts, as in {"router": "debug"}.`,
			read: readParts,
			show: func(*Settings) string { return "none" },
		},
		{
			name: "format", form: `"text" or "json"`, meaning: "Format of the log lines.",
			read: readFormat,
			show: func(s *Settings) string { return string(s.Log.Format) },
		},
	}
}

func telemetryFields() []field {
	return []field{
		{
			name: "otlp_endpoint", form: "URL", meaning: "Collector that receives traces by OTLP over HTTP.",
			read: readEndpoint,
			show: func(s *Settings) string { return showText(s.Telemetry.OTLPEndpoint) },
		},
		{
			name: "sample_ratio", form: "number from 0 to 1",
			meaning: "Fraction of requests that are traced if the caller did not decide.",
			read:    func(node locator.Node, s *Settings) { s.Telemetry.SampleRatio, _ = node.Float(0, 1) },
			show:    func(s *Settings) string { return fmt.Sprint(s.Telemetry.SampleRatio) },
		},
	}
}

func hostedFields() []field {
	return []field{
		addressField("ready_listen", "Address that serves /readyz, the readiness probe of the hosting platform.",
			func(s *Settings) *netip.AddrPort { return &s.Hosted.ReadyListen }),
		addressField("metrics_listen", "Address that serves /metrics.",
			func(s *Settings) *netip.AddrPort { return &s.Hosted.MetricsListen }),
		boundField("memory_bytes", "Memory available to the process of rilld front, in bytes. About half of it is for the bodies and answers of open requests.",
			func(s *Settings) *float64 { return &s.Hosted.MemoryBytes }),
		boundField("link_megabits", "Bandwidth of the host's link in Mbit/s; 0 if it is not known. The daemons with the largest links of a data centre combine and read for the others.",
			func(s *Settings) *float64 { return &s.Hosted.LinkMegabits }),
		spanField("stop_bound", "Time from the stop signal until the process is killed.",
			func(s *Settings) *time.Duration { return &s.Hosted.StopBound }),
		spanField("key_revocation", "Maximum time from the revocation of a key until no daemon accepts it.",
			func(s *Settings) *time.Duration { return &s.Hosted.KeyRevocation }),
		spanField("weights_spread", "Maximum time from the replacement of weights until no request begins on the old ones.",
			func(s *Settings) *time.Duration { return &s.Hosted.WeightsSpread }),
		spanField("target_heartbeat", "Interval at which targets renew their entries. One that misses three of them is taken out of the store.",
			func(s *Settings) *time.Duration { return &s.Hosted.TargetHeartbeat }),
		spanField("lease_time", "Minimum time between the last order that one holder of the update lock sends to an engine and the first order of the next holder.",
			func(s *Settings) *time.Duration { return &s.Hosted.LeaseTime }),
		boundField("retry_ratio", "Retries to a service by all daemons together, as a fraction of its requests.",
			func(s *Settings) *float64 { return &s.Hosted.RetryRatio }),
		boundField("retry_burst", "Retries to a service by all daemons together beyond retry_ratio, over any period.",
			func(s *Settings) *float64 { return &s.Hosted.RetryBurst }),
		flagField("fair_shares", "Whether client accounts are held to their fair shares of overloaded services.",
			func(s *Settings) *bool { return &s.Hosted.FairShares }),
		flagField("engine_memory", "Whether requests are refused for which no engine has memory.",
			func(s *Settings) *bool { return &s.Hosted.EngineMemory }),
		boundField("cross_data_centre_gigabyte_cost", "Cost of a gigabyte between data centres, where 1 is what an answer on time is worth. Requests leave their data centre if that is worth more than it costs. 0: the bytes and the round trip are not weighed.",
			func(s *Settings) *float64 { return &s.Hosted.CrossDataCentreGigabyteCost }),
		boundField("cross_data_centre_cache_gigabyte_cost", "The same for cached parts of prompts that engines fetch from another data centre. 0: not weighed. It has no effect without cross_data_centre_gigabyte_cost.",
			func(s *Settings) *float64 { return &s.Hosted.CrossDataCentreCacheGigabyteCost }),
	}
}

func readEndpoint(node locator.Node, s *Settings) {
	text, ok := node.Text()
	if !ok {
		return
	}
	s.Telemetry.OTLPEndpoint = text
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		node.Fail(`a URL, such as "http://127.0.0.1:4318"`)
	}
}
