package dbsim

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
)

// Type is the type of a column, a parameter or a value.
type Type uint8

// Types that the engine supports. All integer types are TypeInt, with 64 bits.
const (
	TypeNull Type = iota
	TypeInt
	TypeText
	TypeBool
	TypeFloat
	TypeVoid
)

// OIDs of the types in the PostgreSQL catalog.
const (
	oidBool   = 16
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat8 = 701
	oidVoid   = 2278
)

// oid returns the type's OID in the PostgreSQL protocol.
func (t Type) oid() uint32 {
	switch t {
	case TypeInt:
		return oidInt8
	case TypeBool:
		return oidBool
	case TypeFloat:
		return oidFloat8
	case TypeVoid:
		return oidVoid
	default:
		return oidText
	}
}

// size returns the type's length in bytes as RowDescription reports it, -1 if it varies.
func (t Type) size() int16 {
	switch t {
	case TypeInt, TypeFloat:
		return 8
	case TypeBool:
		return 1
	case TypeVoid:
		return 4
	default:
		return -1
	}
}

// typeOfOID returns the type of a parameter's OID. It returns TypeNull for OID 0, which leaves the type
// unspecified, and TypeText for unknown OIDs.
func typeOfOID(oid uint32) Type {
	switch oid {
	case 0:
		return TypeNull
	case oidInt8, oidInt4, oidInt2:
		return TypeInt
	case oidBool:
		return TypeBool
	case oidFloat8:
		return TypeFloat
	default:
		return TypeText
	}
}

// Value is one value of a row. It is comparable; the zero value is NULL.
type Value struct {
	Type Type
	// Int holds TypeInt, TypeBool (0 or 1) and the bits of TypeFloat.
	Int  int64
	Text string
}

// Int returns an integer value.
func Int(n int64) Value { return Value{Type: TypeInt, Int: n} }

// Text returns a text value.
func Text(s string) Value { return Value{Type: TypeText, Text: s} }

// Bool returns a boolean value.
func Bool(b bool) Value {
	if b {
		return Value{Type: TypeBool, Int: 1}
	}
	return Value{Type: TypeBool}
}

func floatValue(f float64) Value {
	return Value{Type: TypeFloat, Int: int64(math.Float64bits(f))}
}

func (v Value) float() float64 {
	if v.Type == TypeFloat {
		return math.Float64frombits(uint64(v.Int))
	}
	return float64(v.Int)
}

// IsNull reports whether the value is NULL.
func (v Value) IsNull() bool { return v.Type == TypeNull }

// String returns the value in text format.
func (v Value) String() string { return string(v.appendText(nil)) }

func (v Value) appendText(dst []byte) []byte {
	switch v.Type {
	case TypeInt:
		return strconv.AppendInt(dst, v.Int, 10)
	case TypeBool:
		if v.Int != 0 {
			return append(dst, 't')
		}
		return append(dst, 'f')
	case TypeFloat:
		return strconv.AppendFloat(dst, v.float(), 'g', -1, 64)
	default:
		return append(dst, v.Text...)
	}
}

// encode encodes the value for a DataRow message, as nil for NULL. It appends the bytes to dst and returns
// the extended dst and the part that holds the value.
func (v Value) encode(dst []byte, binaryFormat bool) (extended, value []byte) {
	if v.IsNull() {
		return dst, nil
	}
	start := len(dst)
	switch {
	case !binaryFormat:
		dst = v.appendText(dst)
	case v.Type == TypeInt || v.Type == TypeFloat:
		dst = binary.BigEndian.AppendUint64(dst, uint64(v.Int))
	case v.Type == TypeBool:
		dst = append(dst, byte(v.Int))
	default:
		dst = append(dst, v.Text...)
	}
	if dst == nil {
		return dst, []byte{}
	}
	return dst, dst[start:len(dst):len(dst)]
}

// decodeValue decodes a parameter of a Bind message.
func decodeValue(src []byte, t Type, binaryFormat bool) (Value, error) {
	if src == nil {
		return Value{}, nil
	}
	if !binaryFormat {
		return parseValue(string(src), t)
	}
	switch t {
	case TypeInt:
		return decodeBinaryInt(src)
	case TypeFloat:
		if len(src) != 8 {
			return Value{}, sqlErrorf(stateBadBinary, "float8 parameter of %d bytes", len(src))
		}
		return Value{Type: TypeFloat, Int: int64(binary.BigEndian.Uint64(src))}, nil
	case TypeBool:
		if len(src) != 1 {
			return Value{}, sqlErrorf(stateBadBinary, "bool parameter of %d bytes", len(src))
		}
		return Bool(src[0] != 0), nil
	default:
		return Text(string(src)), nil
	}
}

func decodeBinaryInt(src []byte) (Value, error) {
	switch len(src) {
	case 8:
		return Int(int64(binary.BigEndian.Uint64(src))), nil
	case 4:
		return Int(int64(int32(binary.BigEndian.Uint32(src)))), nil
	case 2:
		return Int(int64(int16(binary.BigEndian.Uint16(src)))), nil
	default:
		return Value{}, sqlErrorf(stateBadBinary, "integer parameter of %d bytes", len(src))
	}
}

// parseValue converts text to a value of the type.
func parseValue(s string, t Type) (Value, error) {
	switch t {
	case TypeInt:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return Value{}, sqlErrorf(stateBadText, "invalid input syntax for type bigint: %q", s)
		}
		return Int(n), nil
	case TypeFloat:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return Value{}, sqlErrorf(stateBadText, "invalid input syntax for type double precision: %q", s)
		}
		return floatValue(f), nil
	case TypeBool:
		switch s {
		case "t", "true", "on", "1", "TRUE":
			return Bool(true), nil
		case "f", "false", "off", "0", "FALSE":
			return Bool(false), nil
		}
		return Value{}, sqlErrorf(stateBadText, "invalid input syntax for type boolean: %q", s)
	default:
		return Text(s), nil
	}
}

// convert converts the value to the type. It returns an error if that is not possible.
func (v Value) convert(t Type) (Value, error) {
	if v.IsNull() || v.Type == t || t == TypeNull {
		return v, nil
	}
	if v.Type == TypeText || t == TypeText {
		return parseValue(v.String(), t)
	}
	if v.Type == TypeInt && t == TypeFloat {
		return floatValue(float64(v.Int)), nil
	}
	return Value{}, sqlErrorf(stateTypeMismatch, "a value of type %d does not fit type %d", v.Type, t)
}

// compare returns a negative, zero or positive number, as v sorts before, with or after w. They must have
// the same type or be numbers. NULL sorts last.
func (v Value) compare(w Value) int {
	switch {
	case v.IsNull() && w.IsNull():
		return 0
	case v.IsNull():
		return 1
	case w.IsNull():
		return -1
	case v.Type == TypeFloat || w.Type == TypeFloat:
		return compareOrdered(v.float(), w.float())
	case v.Type == TypeText:
		return compareOrdered(v.Text, w.Text)
	default:
		return compareOrdered(v.Int, w.Int)
	}
}

func compareOrdered[T int64 | float64 | string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// SQLSTATEs that the engine reports.
const (
	stateSyntax             = "42601"
	stateNoTable            = "42P01"
	stateTableExists        = "42P07"
	stateNoColumn           = "42703"
	stateNoFunction         = "42883"
	stateNoParameter        = "42P02"
	stateTypeMismatch       = "42804"
	stateBadText            = "22P02"
	stateBadBinary          = "22P03"
	stateUnique             = "23505"
	stateNotNull            = "23502"
	stateReadOnly           = "25006"
	stateFailedTx           = "25P02"
	stateNoStatement        = "26000"
	stateStatementExists    = "42P05"
	stateNoPortal           = "34000"
	stateDeadlock           = "40P01"
	stateTooManyConnections = "53300"
	statePrerequisite       = "55000"
	stateShutdown           = "57P01"
	stateCanceled           = "57014"
	stateProtocol           = "08P01"
	stateUnsupported        = "0A000"
	stateForbidden          = "42501"
	stateBadParameter       = "22023"
)

// SQLError is an error that is sent to the client with its SQLSTATE.
type SQLError struct {
	State   string
	Message string
}

func (e *SQLError) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

func sqlErrorf(state, format string, args ...any) *SQLError {
	return &SQLError{State: state, Message: fmt.Sprintf(format, args...)}
}
