package checksum

import (
	"bytes"
	"testing"
)

// Sealed data opens unchanged, and the sealed form is the one that earlier builds wrote.
func TestSealAndOpen(t *testing.T) {
	// CRC-32C of "123456789" is 0xe3069283 (RFC 3720, B.4 names the polynomial).
	if got, want := Seal([]byte("123456789")), []byte("\xe3\x06\x92\x83123456789"); !bytes.Equal(got, want) {
		t.Errorf("sealed as %x, want %x", got, want)
	}
	for _, data := range []string{"", "a", "123456789"} {
		if got, ok := Open(Seal([]byte(data))); !ok || string(got) != data {
			t.Errorf("%q opens as %q, %v", data, got, ok)
		}
	}
}

// Neither a flipped bit nor a truncation passes.
func TestOpenDetectsDamage(t *testing.T) {
	sealed := Seal([]byte("state"))
	for bit := range 8 * len(sealed) {
		damaged := bytes.Clone(sealed)
		damaged[bit/8] ^= 1 << (bit % 8)
		if _, ok := Open(damaged); ok {
			t.Errorf("flipped bit %d is not detected", bit)
		}
	}
	for n := range sealed {
		if _, ok := Open(sealed[:n]); ok {
			t.Errorf("truncation to %d bytes is not detected", n)
		}
	}
}
