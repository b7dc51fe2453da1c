// Package headerline writes HTTP header lines.
package headerline

// Append appends a header line with the given name and value to out.
func Append[N, V ~string | ~[]byte](out []byte, name N, value V) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
