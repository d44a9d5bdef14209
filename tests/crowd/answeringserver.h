// A back end that counts what it runs, answers without waiting for the reader, or never.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "loopback.h"

namespace comfrey::crowd {

/// Answers with `answerBytes` bytes below the path "/again/large", never below "/again/hold", and
/// with the length of the request's body elsewhere.
class AnsweringServer
{
public:
    AnsweringServer(boost::asio::io_context &loop, std::size_t answerBytes);

    std::string address() const;
    std::size_t runs() const { return *m_runs; }

private:
    class Connection;
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_answerBytes;
    std::shared_ptr<std::size_t> m_runs = std::make_shared<std::size_t>(0);
};

} // namespace comfrey::crowd
