package form_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
)

const acme = `{"customer":"acme","urgent":["bookings"],"may_wait":["reconcile"],"never_twice":["reconcile","invoices"],
"services":[{"name":"bookings","replicas":4,"deadline_ms":2000,"size":{"milli_cpu":1000,"memory_mib":512,"accelerators":0}},
{"name":"invoices","replicas":2,"deadline_ms":5000,"size":{"milli_cpu":500,"memory_mib":256,"accelerators":0}}],
"batch":[{"name":"reconcile","size":{"milli_cpu":2000,"memory_mib":1024,"accelerators":0},"max_attempts":0}],
"quota":{"milli_cpu":20000,"memory_mib":0,"accelerators":0,"running_tasks":100,"requests_per_second":50,"weight":2}}`

// Guards against a document that does not match its answers: a wrong class or a lost never_twice causes no error, but
// delays or repeats the customer's work.
func TestGenerate(t *testing.T) {
	a, err := form.Decode([]byte(acme))
	assert.NilError(t, err)
	doc := a.Generate()
	assert.Equal(t, doc.Services[0].Class, fleet.Urgent)
	assert.Equal(t, doc.Services[0].NonIdempotent, false)
	assert.Equal(t, doc.Services[1].Class, fleet.Standard)
	assert.Equal(t, doc.Services[1].NonIdempotent, true)
	assert.Equal(t, doc.Batch[0].Class, fleet.Deferrable)
	assert.Equal(t, doc.Batch[0].MaxAttempts, 1)
	assert.Equal(t, doc.Batch[0].Resources.MemoryBytes, int64(1024<<20))
	assert.Equal(t, doc.Quota.Weight, 2)
}

// Guards against errors that lack the field, its value or the valid values, which operators need to correct an answer.
func TestValidate(t *testing.T) {
	for _, c := range []struct{ from, to, field, value, allowed string }{
		{`"customer":"acme"`, `"customer":"Acme!"`, "customer", `"Acme!"`, "lower-case"},
		{`"replicas":4`, `"replicas":0`, "services[0].replicas", "0", "from 1 to 10000"},
		{`"replicas":4`, `"replicas":40`, "quota.milli_cpu", "20000", "at least 41000"},
		{`"replicas":4`, `"replicas":"4"`, "services.replicas", "a JSON string", "int"},
		{`"urgent":["bookings"]`, `"urgent":["booking"]`, "urgent[0]", `"booking"`, "name of a service"},
		{`"may_wait":["reconcile"]`, `"may_wait":["bookings"]`, "may_wait[0]", `"bookings"`, "urgent does not list"},
		{`"name":"invoices"`, `"name":"bookings"`, "services[1].name", `"bookings"`, "no other"},
		{`"max_attempts":0`, `"max_attempts":3`, "batch[0].max_attempts", "3", "never_twice"},
		{`"weight":2`, `"wieght":2`, "wieght", "an unknown", "quota"},
		{`"weight":2`, `"Weight":2`, "Weight", "an unknown", "quota"},
		{`"weight":2`, `"weight":2,"weight":3`, "weight", "repeated", "each once"},
		{`"weight":2}}`, `"weight":2}} {}`, "answers", "text after", "one JSON object"},
	} {
		_, err := form.Decode([]byte(strings.Replace(acme, c.from, c.to, 1)))
		invalid := (*form.InvalidError)(nil)
		assert.Assert(t, errors.As(err, &invalid), c.to)
		i := slices.IndexFunc(invalid.Problems, func(p *form.FieldError) bool { return p.Field == c.field })
		assert.Assert(t, i >= 0, "%s: %v", c.to, err)
		p := invalid.Problems[i]
		assert.Assert(t, strings.Contains(p.Value, c.value) && strings.Contains(p.Allowed, c.allowed), "%s: %v", c.to, p)
	}
}

// Guards against differences with a wrong field name. They are shown to an operator whose change conflicts with
// another's.
func TestDiff(t *testing.T) {
	a, err := form.Decode([]byte(acme))
	assert.NilError(t, err)
	b, err := form.Decode([]byte(strings.NewReplacer(`"replicas":2`, `"replicas":3`, `"urgent":["bookings"]`, `"urgent":[]`).Replace(acme)))
	assert.NilError(t, err)
	assert.DeepEqual(t, form.Diff(a, b), []form.Difference{
		{Field: "services[invoices].replicas", From: "2", To: "3"},
		{Field: "urgent[bookings]", From: "listed", To: ""},
	})
	slices.Reverse(b.Services)
	slices.Reverse(b.NeverTwice)
	assert.Equal(t, len(form.Diff(a, b)), 2)
}

// Answers that decode must be equal after encoding and decoding, and an error for any other input must name a field.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(acme))
	f.Add([]byte(`{"customer":"x"}`))
	f.Add([]byte(`{"customer":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := form.Decode(data)
		if err != nil {
			invalid := (*form.InvalidError)(nil)
			assert.Assert(t, errors.As(err, &invalid) && len(invalid.Problems) > 0 && invalid.Problems[0].Field != "")
			return
		}
		encoded, err := form.Encode(a)
		assert.NilError(t, err)
		again, err := form.Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, a, again)
		assert.Equal(t, len(form.Diff(a, again)), 0)
		compact, err := json.Marshal(encoded)
		assert.NilError(t, err)
		assert.Equal(t, string(compact), string(encoded), "marshalling the encoded answers changed them; stored answers are compared byte by byte")
	})
}

func ExampleDecode() {
	_, err := form.Decode([]byte(`{"customer": "acme", "quota": {"weight": -1}}`))
	fmt.Println(err)
	// Output: quota.weight: -1 is not allowed: want a whole number from 0 to 1000
}
