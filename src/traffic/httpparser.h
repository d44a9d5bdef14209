// Incremental parsing of one HTTP/1.1 message on Beast's parser. Bytes go in as they arrive; head,
// body and end are asked for after each step, so no callback runs inside the parser.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "traffic/httphead.h"

namespace comfrey {

enum class ParseFault : std::uint8_t {
    None,
    /// Not HTTP/1.x, lengths that contradict each other, a status outside the range or, in a
    /// response, a folded line.
    Malformed,
    HeaderTooLarge, ///< Over the limit of header bytes.
    BodyTooLarge,   ///< Over the limit of body bytes.
};

template<bool isRequest>
class HttpParser : private boost::beast::http::basic_parser<isRequest>
{
public:
    HttpParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    /// The response belongs to a HEAD request: it has no body whatever its fields say.
    void expectNoBody() { this->skip(true); }

    /// Takes bytes and returns how many were used. The rest is to be offered again, with more.
    std::size_t feed(std::string_view bytes);
    /// The connection ended cleanly. A response without a length is complete then.
    void feedEnd();

    ParseFault fault() const { return m_fault; }
    bool hasHead() const { return m_headRead; }
    bool isComplete() const { return m_fault == ParseFault::None && this->is_done(); }
    HttpHead &head() { return m_head; }
    /// The body bytes since the last call.
    std::string takeBody() { return std::exchange(m_body, {}); }
    std::string &body() { return m_body; }

private:
    using Base = boost::beast::http::basic_parser<isRequest>;
    using View = boost::beast::string_view;
    using ErrorRef = boost::beast::error_code &;

    void on_request_impl(boost::beast::http::verb, View method, View target, int version,
                         ErrorRef) override;
    void on_response_impl(int status, View reason, int version, ErrorRef) override;
    void on_field_impl(boost::beast::http::field name, View fieldName, View value,
                       ErrorRef error) override;
    void on_header_impl(ErrorRef) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorRef) override { }
    std::size_t on_body_impl(View bytes, ErrorRef) override;
    void on_chunk_header_impl(std::uint64_t, View, ErrorRef) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, View bytes, ErrorRef) override;
    void on_finish_impl(ErrorRef) override { }

    /// Where in a head the bytes end that were parsed.
    enum class HeadPosition : std::uint8_t { InLine, LineStart, End };

    void readFraming();
    /// True if a line of the head that ends in `parsed`, the next bytes, continues the line before
    /// it. Beast joins such lines; the value before would not be the one that its sender wrote.
    bool hasFoldedLine(std::string_view parsed);
    /// Makes room for the fields of the bytes that are being parsed.
    void reserveFields();

    std::string_view m_fed; ///< Bytes of the present feed(), else empty.
    HttpHead m_head;
    HeadPosition m_headPosition = HeadPosition::InLine;
    bool m_headRead = false; ///< m_head says how the body is framed.
    std::string m_body;      ///< Body bytes that nobody has taken yet.
    ParseFault m_fault = ParseFault::None;
};

extern template class HttpParser<true>;
extern template class HttpParser<false>;

using RequestParser = HttpParser<true>;
using ResponseParser = HttpParser<false>;

} // namespace comfrey
