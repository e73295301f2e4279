package wire

import "fmt"

// InvalidStatuses returns responses with a status that no final response has, by name. Status 101 is one that was not asked for. They have the given lines of
// header fields, each with its end, and body.
func InvalidStatuses(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, status := range []string{"000", "042", "099", "+20", "101"} {
		responses["status "+status] = responseText(status, fields, body)
		responses["status "+status+" without a body"] = responseText(status, fields, "")
	}
	return responses
}

// InvalidNames returns responses that have a field whose name is not one, by name. They have the given lines of header
// fields, each with its end, and body. net/http takes them.
func InvalidNames(fields, body string) map[string]string {
	sound := responseText("200", fields, body)
	return map[string]string{
		"blank in a name":                responseText("200", fields+"Bad Name: x\r\n", body),
		"blank in a name, no body":       responseText("200", fields+"Bad Name: x\r\n", ""),
		"blank before a colon":           responseText("200", fields+"Name : x\r\n", body),
		"blank before the colon of size": fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n%s", fields, len(body), body),
		"blank before that of chunks":    responseText("200", fields+"Transfer-Encoding : chunked\r\n", body),
		"blank in an interim head":       "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + sound,
		"blank before an interim colon":  "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + sound,
	}
}

// InvalidTrailers returns responses like those of InvalidNames, whose invalid field follows the body.
func InvalidTrailers(fields, body string) map[string]string {
	return map[string]string{
		"blank in a trailer":             chunkedText(fields, body, "Bad Name: x\r\n"),
		"blank before a trailer's colon": chunkedText(fields, body, "Name : x\r\n"),
		"announced, blank in a trailer":  chunkedText(fields+"Trailer: Digest\r\n", body, "Digest: x\r\nBad Name: x\r\n"),
	}
}

// ControlBytes returns responses with control bytes in a field. net/http refuses them.
func ControlBytes(fields, body string) map[string]string {
	sound := responseText("200", fields, body)
	return map[string]string{
		"control byte in a name":          responseText("200", fields+"Bad\x01Name: x\r\n", body),
		"tab before a colon":              responseText("200", fields+"Name\t: x\r\n", body),
		"zero byte in a value":            responseText("200", fields+"Name: \x00x\r\n", body),
		"control byte in an interim head": "HTTP/1.1 103 Early Hints\r\nBad\x01Name: x\r\n\r\n" + sound,
		"control byte in a trailer":       chunkedText(fields, body, "Bad\x01Name: x\r\n"),
	}
}

// chunkedText returns a response in chunks with the given lines of a trailer.
func chunkedText(fields, body, trailer string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
		fields, len(body), body, trailer)
}

// responseText returns a response with a length.
func responseText(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s Text\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}
