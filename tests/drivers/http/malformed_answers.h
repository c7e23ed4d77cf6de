#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace teaselpitch::testing {

struct answer_case {
    std::string name;
    std::string answer;
};

inline std::ostream& operator<<(std::ostream& out, const answer_case& value) {
    return out << value.name;
}

inline std::string with_status_line(std::string_view line) {
    return std::string(line) + "\r\nContent-Length: 5\r\n\r\nwhole";
}

inline std::string with_field(std::string_view field) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + std::string(field) + "\r\n\r\nwhole";
}

inline std::string with_framing(std::string_view fields) {
    return "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n\r\nwhole";
}

inline std::string in_chunks(std::string_view chunks) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(chunks);
}

inline std::string repeat(std::string_view text, int times) {
    std::string result;
    for (int i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

inline const std::string valid_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
inline const std::string interim_answer = "HTTP/1.1 102 Processing\r\n\r\n";

/// Answers whose head is malformed, so that nothing of them may be forwarded.
inline const std::vector<answer_case> malformed_heads{
    {"status 000", with_status_line("HTTP/1.1 000 OK")},
    {"status 001", with_status_line("HTTP/1.1 001 OK")},
    {"status 099", with_status_line("HTTP/1.1 099 OK")},
    {"status 1000", with_status_line("HTTP/1.1 1000 OK")},
    {"status of two digits", with_status_line("HTTP/1.1 20 OK")},
    {"status with a sign", with_status_line("HTTP/1.1 -20 OK")},
    {"status with a letter", with_status_line("HTTP/1.1 2x0 OK")},
    {"status after two blanks", with_status_line("HTTP/1.1  200 OK")},
    {"status 000 after an interim answer", interim_answer + with_status_line("HTTP/1.1 000 OK")},
    {"status 101", with_status_line("HTTP/1.1 101 Switching Protocols")},
    {"version 2", with_status_line("HTTP/2.0 200 OK")},
    {"no version", with_status_line("HTTP 200 OK")},
    {"empty line before the status line", "\r\n" + valid_answer},
    {"control byte in the reason", with_status_line("HTTP/1.1 200 O\x01K")},
    {"field name with a blank", with_field("X Field: v")},
    {"field name with a tab", with_field("X\tField: v")},
    {"field name with a control byte", with_field("X\x01"
                                                  "Field: v")},
    {"field name with NUL", with_field(std::string("X\0Field: v", 10))},
    {"field name with DEL", with_field("X\x7f"
                                       "Field: v")},
    {"field name with a byte above 127", with_field("X\xe9"
                                                    "Field: v")},
    {"field name with a separator", with_field("X(Field): v")},
    {"empty field name", with_field(": v")},
    {"blank before the colon", with_field("X-Field : v")},
    {"field without a colon", with_field("X-Field")},
    {"folded field", with_field("X-Field: v\r\n w")},
    {"folded field after the status line",
     "HTTP/1.1 200 OK\r\n X-Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"control byte in a value", with_field("X-Field: v\x01w")},
    {"NUL in a value", with_field(std::string("X-Field: v\0w", 12))},
    {"DEL in a value", with_field("X-Field: v\x7fw")},
    {"bare CR in a value", with_field("X-Field: v\rw")},
    {"bare LF in a value", with_field("X-Field: v\nX-Other: w")},
    {"two equal lengths", with_field("Content-Length: 5")},
    {"two different lengths", with_field("Content-Length: 4")},
    {"list of lengths", with_framing("Content-Length: 5, 5")},
    {"length with a sign", with_framing("Content-Length: +5")},
    {"negative length", with_framing("Content-Length: -5")},
    {"length with a blank", with_framing("Content-Length: 5 5")},
    {"length in hexadecimal", with_framing("Content-Length: 0x5")},
    {"empty length", with_framing("Content-Length: ")},
    {"length beyond 64 bits", with_framing("Content-Length: 18446744073709551621")},
    {"length and coding", with_framing("Content-Length: 5\r\nTransfer-Encoding: chunked")},
    {"coding and length", with_framing("Transfer-Encoding: chunked\r\nContent-Length: 5")},
    {"unknown coding", with_framing("Transfer-Encoding: gzip")},
    {"two codings", with_framing("Transfer-Encoding: gzip, chunked")},
    {"two coding fields", with_framing("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")},
    {"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
    {"malformed interim answer", "HTTP/1.1 102 Processing\r\nX Field: v\r\n\r\n" + valid_answer},
    {"too many interim answers", repeat(interim_answer, 17) + valid_answer},
};

/// Answers with a valid head whose body is malformed, so that they may start but never look complete.
inline const std::vector<answer_case> malformed_bodies{
    {"chunk size that is not a number", in_chunks("g\r\nwhole\r\n0\r\n\r\n")},
    {"negative chunk size", in_chunks("-5\r\nwhole\r\n0\r\n\r\n")},
    {"chunk size beyond 64 bits", in_chunks("fffffffffffffffff\r\nwhole\r\n0\r\n\r\n")},
    {"chunk longer than its size", in_chunks("4\r\nwhole\r\n0\r\n\r\n")},
    {"chunk without CR LF", in_chunks("5\r\nwhole0\r\n\r\n")},
    {"trailer name with a blank", in_chunks("5\r\nwhole\r\n0\r\nX Field: v\r\n\r\n")},
    {"trailer name with a control byte", in_chunks("5\r\nwhole\r\n0\r\nX\x01"
                                                   "Field: v\r\n\r\n")},
    {"control byte in a trailer value", in_chunks("5\r\nwhole\r\n0\r\nX-Field: v\x01w\r\n\r\n")},
    {"blank before the colon of a trailer", in_chunks("5\r\nwhole\r\n0\r\nX-Field : v\r\n\r\n")},
};

/// Valid answers that are not complete when their last bytes are missing.
inline const std::vector<answer_case> valid_answers{
    {"with a length", valid_answer},
    {"in chunks", in_chunks("5\r\nwhole\r\n0\r\n\r\n")},
    {"in chunks with a trailer", in_chunks("5\r\nwhole\r\n0\r\nX-Field: v\r\n\r\n")},
    {"after an interim answer", interim_answer + valid_answer},
    {"without a body", "HTTP/1.1 204 No Content\r\n\r\n"},
    {"without a reason", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole"},
    {"status 999", with_status_line("HTTP/1.1 999 Other")},
    {"value with blanks, tabs and bytes above 127", with_field("X-Field: \t v\tw \xe9 x ")},
    {"empty value", with_field("X-Field:")},
    {"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
};

}  // namespace teaselpitch::testing
