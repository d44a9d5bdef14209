#include "standin-engine/chatroute.h"

#include <nlohmann/json.hpp>

namespace comfrey::standin {

namespace {

constexpr Duration kCallerCheck = milliseconds(50); // how often a waiting caller is looked at

nlohmann::json usageOf(const Sequence &sequence, const Progress &progress)
{
    return {{"prompt_tokens", sequence.promptTokens},
            {"completion_tokens", progress.produced - sequence.resumeAt},
            {"cached_tokens", progress.cachedTokens}};
}

const char *finishReason(const Sequence &sequence)
{
    return sequence.reachesLimit ? "length" : "stop";
}

/// Writes the tokens of one sequence as server-sent events.
class TokenStream
{
public:
    TokenStream(Scheduler &scheduler, std::shared_ptr<Sequence> sequence)
        : m_scheduler(scheduler), m_sequence(std::move(sequence)), m_next(m_sequence->resumeAt),
          m_quotedId(nlohmann::json(m_sequence->id).dump())
    { }

    /// One round: waits for tokens and writes them. False ends the connection.
    bool proceed(httplib::DataSink &sink)
    {
        const Progress progress = m_scheduler.await(*m_sequence, m_next, kCallerCheck);
        if (progress.state == SequenceState::Cancelled)
            return false;
        if (!sink.is_writable() || !writeTokens(progress, sink)) {
            m_scheduler.cancel(m_sequence->id);
            return false;
        }
        if (progress.state == SequenceState::Finished) {
            writeEnd(progress, sink);
            sink.done();
        }
        return true;
    }

private:
    bool writeTokens(const Progress &progress, httplib::DataSink &sink)
    {
        std::string events;
        for (; m_next < progress.produced; ++m_next) {
            events += "data: {\"id\":" + m_quotedId
                + R"(,"choices":[{"index":0,"delta":{"content":")"
                + tokenText(m_sequence->promptKey(), m_next)
                + "\"}}],\"position\":" + std::to_string(m_next) + "}\n\n";
        }
        return events.empty() || sink.write(events.data(), events.size());
    }

    void writeEnd(const Progress &progress, httplib::DataSink &sink)
    {
        const nlohmann::json last = {{"id", m_sequence->id},
                                     {"choices",
                                      {{{"index", 0},
                                        {"delta", nlohmann::json::object()},
                                        {"finish_reason", finishReason(*m_sequence)}}}},
                                     {"position", m_next},
                                     {"usage", usageOf(*m_sequence, progress)}};
        const std::string events = "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
        sink.write(events.data(), events.size());
    }

    Scheduler &m_scheduler;
    std::shared_ptr<Sequence> m_sequence;
    Tokens m_next; ///< Position of the next token to write.
    const std::string m_quotedId;
};

std::string wholeAnswer(const Sequence &sequence, const Progress &progress)
{
    std::string text;
    for (Tokens position = sequence.resumeAt; position < progress.produced; ++position)
        text += tokenText(sequence.promptKey(), position);
    const nlohmann::json body = {{"id", sequence.id},
                                 {"object", "chat.completion"},
                                 {"choices",
                                  {{{"index", 0},
                                    {"message", {{"role", "assistant"}, {"content", text}}},
                                    {"finish_reason", finishReason(sequence)}}}},
                                 {"usage", usageOf(sequence, progress)}};
    return body.dump();
}

} // namespace

void answerStreamed(Scheduler &scheduler, const std::shared_ptr<Sequence> &sequence,
                    httplib::Response &response)
{
    auto stream = std::make_shared<TokenStream>(scheduler, sequence);
    response.set_chunked_content_provider(
        "text/event-stream",
        [stream](std::size_t, httplib::DataSink &sink) { return stream->proceed(sink); });
}

void answerWhole(Scheduler &scheduler, const std::shared_ptr<Sequence> &sequence,
                 httplib::Response &response)
{
    response.set_chunked_content_provider(
        "application/json", [&scheduler, sequence](std::size_t, httplib::DataSink &sink) {
            const Progress progress =
                scheduler.await(*sequence, sequence->answerTokens, kCallerCheck);
            if (progress.state == SequenceState::Cancelled)
                return false;
            if (!sink.is_writable()) {
                scheduler.cancel(sequence->id);
                return false;
            }
            if (progress.state == SequenceState::Finished) {
                const std::string body = wholeAnswer(*sequence, progress);
                sink.write(body.data(), body.size());
                sink.done();
            }
            return true;
        });
}

} // namespace comfrey::standin
