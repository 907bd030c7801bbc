package rules

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"cottonwell/internal/tomlfile"
	"cottonwell/internal/units"
)

// Limits of a document. Larger values are refused with an error.
const (
	MaxBytes = 12_000 // compressed size for transmission
	// MaxText is the maximum size of the uncompressed text in bytes.
	MaxText    = 1 << 20
	MaxDrains  = 1024
	MaxTenants = 256
	MaxClasses = 256
)

// Doc is the document that the schedulers agree on. Omitted values are taken from the platform's
// settings. docs/RULES.md explains the keys.
type Doc struct {
	Classes map[string]Class  `toml:"class,omitempty"`
	Tenants map[string]Tenant `toml:"tenant,omitempty"`
	Cold    Cold              `toml:"cold"`
	Drains  []Drain           `toml:"drain,omitempty"`
}

// Class holds the settings of one class of requests.
type Class struct {
	Attempts   *int          `toml:"attempts,omitempty"`  // maximum attempts per request
	RetryAfter *units.Millis `toml:"come_back,omitempty"` // retry-after of a refusal for which no better value is known
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	Allowance *float64 `toml:"allowance,omitempty"` // requests per second over the whole fleet
}

// Cold holds the settings for targets that warm up.
type Cold struct {
	Share *units.Share `toml:"share,omitempty"` // fraction of the load that a target may otherwise be sent
}

// Drain removes a target, or all targets of a zone, from the list. Drained targets finish the work
// they have.
type Drain struct {
	Target string `toml:"target,omitempty"`
	Zone   string `toml:"zone,omitempty"`
}

// Load reads a document from a file. An error names the file and the line or key.
func Load(path string) (*Doc, error) {
	d := &Doc{}
	if err := tomlfile.Load(path, d); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Check returns an error that names the first invalid key.
func (d *Doc) Check() error {
	switch {
	case len(d.Classes) > MaxClasses:
		return fmt.Errorf("%d classes; at most %d are allowed", len(d.Classes), MaxClasses)
	case len(d.Tenants) > MaxTenants:
		return fmt.Errorf("%d tenants; at most %d are allowed", len(d.Tenants), MaxTenants)
	case len(d.Drains) > MaxDrains:
		return fmt.Errorf("%d drains; at most %d are allowed", len(d.Drains), MaxDrains)
	case d.Cold.Share != nil && !(*d.Cold.Share >= 0 && *d.Cold.Share <= 1):
		return fmt.Errorf("cold.share is %g%%; it must be 0%% to 100%%", 100*float64(*d.Cold.Share))
	}
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		c := d.Classes[name]
		switch {
		case c.Attempts != nil && (*c.Attempts < 1 || *c.Attempts > 100):
			return fmt.Errorf("class.%s.attempts is %d; it must be 1 to 100", name, *c.Attempts)
		case c.RetryAfter != nil && !(*c.RetryAfter >= 0 && *c.RetryAfter <= 600_000):
			return fmt.Errorf("class.%s.come_back is %gms; it must be 0ms to 10m", name, float64(*c.RetryAfter))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		if a := d.Tenants[name].Allowance; a != nil && !(*a > 0 && *a < 1e9) {
			return fmt.Errorf("tenant.%s.allowance is %g requests per second; it must be above 0 and below 1e9", name, *a)
		}
	}
	for i, x := range d.Drains {
		if (x.Target == "") == (x.Zone == "") {
			return fmt.Errorf("drain %d: it must name either a target or a zone", i+1)
		}
	}
	return nil
}

// Text returns the document in canonical form: equal content gives equal text.
func (d *Doc) Text() string {
	x := *d
	x.Drains = slices.Clone(d.Drains)
	slices.SortFunc(x.Drains, func(a, b Drain) int { return strings.Compare(a.Target+"\x00"+a.Zone, b.Target+"\x00"+b.Zone) })
	x.Drains = slices.Compact(x.Drains)
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(&x); err != nil {
		panic(fmt.Sprintf("rules: cannot encode the document: %v", err)) // every type in Doc can be encoded
	}
	return b.String()
}

// Digest identifies a document by its content. It is never 0.
type Digest uint64

// Pack returns the document compressed for transmission, and its digest.
func (d *Doc) Pack() ([]byte, Digest, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil, 0, err
	}
	if _, err := io.WriteString(w, d.Text()); err != nil {
		return nil, 0, err
	}
	if err := w.Close(); err != nil {
		return nil, 0, err
	}
	if b.Len() > MaxBytes {
		return nil, 0, fmt.Errorf("rules: the document has %d bytes when compressed; at most %d are allowed", b.Len(), MaxBytes)
	}
	return b.Bytes(), digestOf(b.Bytes()), nil
}

func digestOf(packed []byte) Digest {
	sum := sha256.Sum256(packed)
	return Digest(binary.LittleEndian.Uint64(sum[:]) | 1)
}

// Unpack decodes the output of Pack.
func Unpack(packed []byte) (*Doc, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxText+1))
	if err != nil || len(text) > MaxText {
		return nil, fmt.Errorf("rules: cannot decompress the document: %w", err)
	}
	d := &Doc{}
	meta, err := toml.Decode(string(text), d)
	if err != nil {
		return nil, fmt.Errorf("rules: cannot decode the document: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("rules: unknown key %s in the document; this version does not support it", unknown[0])
	}
	return d, d.Check()
}

// smaller returns the smaller of two values. An omitted value is unlimited.
func smaller[T int | float64 | units.Millis | units.Share](a, b *T) *T {
	switch {
	case a == nil:
		return b
	case b == nil || *a <= *b:
		return a
	}
	return b
}

// Stricter returns a document that contradicts neither a nor b: the stricter of each pair of values.
// Acting on it does nothing that either forbids.
func Stricter(a, b *Doc) *Doc {
	out := &Doc{Cold: Cold{smaller(a.Cold.Share, b.Cold.Share)}}
	out.Drains = append(slices.Clone(a.Drains), b.Drains...)
	out.Classes = mergeMaps(a.Classes, b.Classes, func(x, y Class) Class {
		z := Class{Attempts: smaller(x.Attempts, y.Attempts), RetryAfter: x.RetryAfter}
		if z.RetryAfter == nil || y.RetryAfter != nil && *y.RetryAfter > *z.RetryAfter { // a later retry is stricter
			z.RetryAfter = y.RetryAfter
		}
		return z
	})
	out.Tenants = mergeMaps(a.Tenants, b.Tenants, func(x, y Tenant) Tenant { return Tenant{smaller(x.Allowance, y.Allowance)} })
	return out
}

// mergeMaps merges the values of all keys of two maps.
func mergeMaps[V any](a, b map[string]V, merge func(x, y V) V) map[string]V {
	if len(a)+len(b) == 0 {
		return nil
	}
	out := map[string]V{}
	for _, m := range []map[string]V{a, b} {
		for k := range m {
			out[k] = merge(a[k], b[k])
		}
	}
	return out
}

// Contradicts returns the keys in which two documents contradict each other: at least one of them
// forbids what the other allows. Then a scheduler that acts on one may violate the other.
func Contradicts(a, b *Doc) (keys []string) {
	differ := func(key string, same bool) {
		if !same {
			keys = append(keys, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(mergeMaps(a.Classes, b.Classes, func(x, _ Class) Class { return x }))) {
		x, y := a.Classes[name], b.Classes[name]
		differ("class."+name+".attempts", equal(x.Attempts, y.Attempts))
	}
	for _, name := range slices.Sorted(maps.Keys(mergeMaps(a.Tenants, b.Tenants, func(x, _ Tenant) Tenant { return x }))) {
		differ("tenant."+name+".allowance", equal(a.Tenants[name].Allowance, b.Tenants[name].Allowance))
	}
	differ("cold.share", equal(a.Cold.Share, b.Cold.Share))
	for _, x := range a.Drains {
		differ("drain "+x.Target+x.Zone, slices.Contains(b.Drains, x))
	}
	for _, x := range b.Drains {
		differ("drain "+x.Target+x.Zone, slices.Contains(a.Drains, x))
	}
	return keys
}

func equal[T comparable](a, b *T) bool { return a == b || a != nil && b != nil && *a == *b }

// AllowedBy reports whether every action that is allowed under strict is also allowed under wide.
func AllowedBy(strict, wide *Doc) bool {
	return len(Contradicts(Stricter(strict, wide), strict)) == 0
}

// Strict returns the form of a document that a scheduler applies when it does not know whether its
// document is still in force. No request is attempted twice, and a cold target gets one scheduler's
// share of its allowance.
func Strict(d *Doc, classes []string, fleet int) *Doc {
	out := &Doc{Cold: d.Cold, Drains: d.Drains, Tenants: d.Tenants, Classes: maps.Clone(d.Classes)}
	part := units.Share(1 / float64(max(1, fleet)))
	if d.Cold.Share != nil {
		part *= *d.Cold.Share
	}
	out.Cold.Share = &part
	if out.Classes == nil {
		out.Classes = map[string]Class{}
	}
	one := 1
	for _, name := range classes {
		c := out.Classes[name]
		c.Attempts = &one
		out.Classes[name] = c
	}
	return out
}

// Diff describes the changes in behaviour from one document to another, one per line.
func Diff(from, to *Doc) (lines []string) {
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	compare := func(what string, a, b *float64, unit string) {
		switch {
		case equal(a, b):
		case a == nil:
			add("%s is limited to %g%s; before, only the limits of the platform's settings applied", what, *b, unit)
		case b == nil:
			add("%s is no longer limited to %g%s; only the limits of the platform's settings apply", what, *a, unit)
		case *b < *a:
			add("%s falls from %g to %g%s", what, *a, *b, unit)
		default:
			add("%s rises from %g to %g%s", what, *a, *b, unit)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(mergeMaps(from.Classes, to.Classes, func(x, _ Class) Class { return x }))) {
		a, b := from.Classes[name], to.Classes[name]
		compare("a request of "+name+": attempts", toFloat(a.Attempts), toFloat(b.Attempts), "")
		compare("a refusal of "+name+": the default retry-after", toFloat(a.RetryAfter), toFloat(b.RetryAfter), "ms")
	}
	for _, name := range slices.Sorted(maps.Keys(mergeMaps(from.Tenants, to.Tenants, func(x, _ Tenant) Tenant { return x }))) {
		compare("tenant "+name+": requests per second within its share", from.Tenants[name].Allowance, to.Tenants[name].Allowance, "")
	}
	compare("a cold target: the used fraction of its allowance", toFloat(from.Cold.Share), toFloat(to.Cold.Share), "")
	for _, x := range to.Drains {
		if !slices.Contains(from.Drains, x) {
			add("no new work goes to %s", x)
		}
	}
	for _, x := range from.Drains {
		if !slices.Contains(to.Drains, x) {
			add("%s gets work again if discovery lists it", x)
		}
	}
	return lines
}

func toFloat[T int | float64 | units.Millis | units.Share](x *T) *float64 {
	if x == nil {
		return nil
	}
	f := float64(*x)
	return &f
}

func (d Drain) String() string {
	if d.Zone != "" {
		return "the targets of zone " + d.Zone
	}
	return "target " + d.Target
}
