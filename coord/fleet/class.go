package fleet

import "fmt"

// Class is the urgency of a request or task; a lower value is more urgent.
type Class uint8

// The classes, most urgent first.
const (
	Urgent Class = iota
	Standard
	Deferrable
)

// Classes lists every class, most urgent first.
var Classes = [...]Class{Urgent, Standard, Deferrable}

var classNames = [...]string{"urgent", "standard", "deferrable"}

// ClassError reports a name that is not the name of a class.
type ClassError struct {
	Name string
}

// Error returns a message with the name and the allowed names.
func (e *ClassError) Error() string {
	return fmt.Sprintf("unknown class %q: want urgent, standard or deferrable", e.Name)
}

// ParseClass returns the class with the given name, or a [*ClassError].
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, &ClassError{Name: name}
}

// String returns the name of the class, or class(n) for an invalid value.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// MarshalText encodes the class as its name, or returns a [*ClassError] for an invalid value.
func (c Class) MarshalText() ([]byte, error) {
	if int(c) >= len(classNames) {
		return nil, &ClassError{Name: c.String()}
	}
	return []byte(classNames[c]), nil
}

// UnmarshalText decodes the name of a class, or returns a [*ClassError].
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}
