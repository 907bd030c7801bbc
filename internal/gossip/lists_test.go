package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestListMessages(t *testing.T) {
	q := ListRequest{Process: 7, SentAt: 1_700_000_000_000_001, Age: 1234, Digest: 5}
	raw := string(q.Append(nil))
	require.True(t, IsListMessage(raw))
	got, response, err := ParseList(raw)
	require.NoError(t, err)
	require.Nil(t, response)
	require.Equal(t, &q, got)
	keys := make([]Key, MaxKeys)
	for i := range keys {
		keys[i] = Key(1) << i
	}
	for _, a := range []ListResponse{
		{Process: 7, RequestSentAt: 9, Age: 1, Except: true, Digest: 5},
		{Process: 7, RequestSentAt: 9, Age: 1, Except: true, Digest: 5, Keys: keys},
		{Process: 7, RequestSentAt: 9, Age: 1, Keys: keys[:1]},
	} {
		raw := string(a.Append(nil))
		require.LessOrEqual(t, len(raw), MaxSize)
		require.True(t, IsListMessage(raw))
		_, got, err := ParseList(raw)
		require.NoError(t, err)
		require.Equal(t, &a, got)
	}
}

// Ages are rounded up, so that no list appears newer than it is, and limited to what can be encoded.
func TestAgesAreRoundedUp(t *testing.T) {
	for age, encoded := range map[float64]float64{0.1: 1, 5: 5, 5.001: 6, 1e9: MaxAge, -3: 0} {
		q := ListRequest{Age: age}
		got, _, err := ParseList(string(q.Append(nil)))
		require.NoError(t, err)
		require.Equal(t, encoded, got.Age)
	}
}

// A target that restarts gets a new key, and different lists have different digests.
func TestKeysAndDigests(t *testing.T) {
	require.NotEqual(t, KeyOf("a", 0), KeyOf("a", 1))
	require.NotEqual(t, KeyOf("a", 0), KeyOf("b", 0))
	require.NotEqual(t, DigestOf([]Key{1, 2}), DigestOf([]Key{1}))
	require.NotEqual(t, DigestOf(nil), DigestOf([]Key{0}))
}

// Malformed datagrams are rejected, and datagrams about loads and about lists are not confused.
func TestMalformedListMessages(t *testing.T) {
	q := ListRequest{Process: 7}
	raw := string(q.Append(nil))
	for _, wrong := range []string{"", raw[:22], raw + "x", raw + "12345678", "\x01" + raw[1:], string(make([]byte, MaxSize+1))} {
		_, _, err := ParseList(wrong)
		require.ErrorIs(t, err, ErrFormat)
	}
	var m Message
	require.ErrorIs(t, Parse(raw, &m), ErrFormat)
	require.False(t, IsListMessage(string(AppendFull(nil, &Message{}))))
}

func FuzzParseList(f *testing.F) {
	q, a := ListRequest{Process: 7}, ListResponse{Keys: []Key{1}}
	f.Add(string(q.Append(nil)))
	f.Add(string(a.Append(nil)))
	f.Fuzz(func(t *testing.T, raw string) {
		q, a, err := ParseList(raw)
		switch {
		case err != nil:
			require.True(t, q == nil && a == nil)
		case q != nil:
			require.Equal(t, raw, string(q.Append(nil)))
		default:
			require.LessOrEqual(t, len(a.Append(nil)), MaxSize)
		}
	})
}
