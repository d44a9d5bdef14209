// Beast's parser with the strictness that a proxy needs: one meaning of a message's length.
#include "traffic/httpparser.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace comfrey {

namespace http = boost::beast::http;

namespace {

std::string textOf(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

bool isContradiction(http::field name, std::string_view value)
{
    return name == http::field::transfer_encoding && !sameFieldName(value, "chunked");
}

/// HTTP defines 100 to 599. 101 answers only a request to switch protocols, and none is ever sent:
/// Upgrade is a hop-by-hop field.
bool isExpectedStatus(int status)
{
    constexpr int kSwitchingProtocols = 101;
    return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

} // namespace

template<bool isRequest>
HttpParser<isRequest>::HttpParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
{
    this->eager(true);
    this->header_limit(maxHeaderBytes);
    this->body_limit(maxBodyBytes);
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::feed(std::string_view bytes)
{
    std::size_t used = 0;
    m_fed = bytes;
    while (used < bytes.size() && !this->is_done() && m_fault == ParseFault::None) {
        boost::beast::error_code error;
        const std::size_t step =
            this->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), error);
        if (!isRequest && hasFoldedLine(bytes.substr(used, step)))
            m_fault = ParseFault::Malformed;
        used += step;
        if (error == http::error::need_more)
            break;
        if (error == http::error::header_limit)
            m_fault = ParseFault::HeaderTooLarge;
        else if (error == http::error::body_limit)
            m_fault = ParseFault::BodyTooLarge;
        else if (error)
            m_fault = ParseFault::Malformed;
        else if (step == 0)
            break;
    }
    m_fed = {};
    if (!m_headRead && this->is_header_done() && m_fault == ParseFault::None)
        readFraming();
    return used;
}

template<bool isRequest>
bool HttpParser<isRequest>::hasFoldedLine(std::string_view parsed)
{
    for (const char byte : parsed) {
        if (m_headPosition == HeadPosition::End)
            return false;
        const bool isLineStart = m_headPosition == HeadPosition::LineStart;
        if (isLineStart && (byte == ' ' || byte == '\t'))
            return true;
        if (isLineStart && byte == '\r')
            m_headPosition = HeadPosition::End;
        else
            m_headPosition = byte == '\n' ? HeadPosition::LineStart : HeadPosition::InLine;
    }
    return false;
}

template<bool isRequest>
void HttpParser<isRequest>::feedEnd()
{
    if (this->is_done() || m_fault != ParseFault::None)
        return;
    boost::beast::error_code error;
    if (this->got_some())
        this->put_eof(error);
    if (error || !this->is_done())
        m_fault = ParseFault::Malformed;
}

template<bool isRequest>
void HttpParser<isRequest>::on_request_impl(http::verb, View method, View target, int version,
                                            ErrorRef)
{
    m_head.method = textOf(method);
    m_head.target = textOf(target);
    m_head.minorVersion = version >= 11 ? 1 : 0;
}

template<bool isRequest>
void HttpParser<isRequest>::on_response_impl(int status, View, int version, ErrorRef error)
{
    if (!isExpectedStatus(status))
        error = http::error::bad_status;
    m_head.status = static_cast<unsigned>(status);
    m_head.minorVersion = version >= 11 ? 1 : 0;
}

template<bool isRequest>
void HttpParser<isRequest>::on_field_impl(http::field name, View fieldName, View value,
                                          ErrorRef error)
{
    if (this->is_header_done())
        return; // A field of a trailer.
    if (m_head.fields.empty())
        reserveFields();
    m_head.fields.push_back({textOf(fieldName), textOf(value)});
    if (isContradiction(name, m_head.fields.back().value))
        error = http::error::bad_transfer_encoding;
}

template<bool isRequest>
void HttpParser<isRequest>::reserveFields()
{
    // Mostly the whole head has come at once.
    const std::string_view head = m_fed.substr(0, m_fed.find("\r\n\r\n"));
    m_head.fields.reserve(1 + static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n')));
}

template<bool isRequest>
void HttpParser<isRequest>::readFraming()
{
    m_headRead = true;
    m_head.keepsAlive = this->keep_alive();
    m_head.isChunked = this->chunked();
    if (!m_head.isChunked) {
        if (const auto length = this->content_length())
            m_head.contentLength = *length;
    }
    // HTTP/1.0 knows no chunks: another reader would see another end of the message.
    if (m_head.isChunked && m_head.minorVersion == 0)
        m_fault = ParseFault::Malformed;
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::on_body_impl(View bytes, ErrorRef)
{
    // A body that comes in several pieces doesn't grow beyond its announced end.
    if (isRequest && m_head.contentLength && m_body.capacity() < m_body.size() + bytes.size()) {
        const std::size_t whole = *m_head.contentLength;
        m_body.reserve(std::max(m_body.size() + bytes.size(),
                                std::min(whole, 2 * (m_body.size() + bytes.size()))));
    }
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::on_chunk_body_impl(std::uint64_t, View bytes, ErrorRef)
{
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template class HttpParser<true>;
template class HttpParser<false>;

} // namespace comfrey
