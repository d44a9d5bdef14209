// One sending of a call to a replica of a plain service; its answer is read whole.
#pragma once

#include "daemon/backendsender.h"

namespace comfrey {

class ServiceSender : public BackendSender
{
public:
    using BackendSender::BackendSender;

protected:
    std::vector<HttpField> fields() const override;
    bool takeHead(const HttpHead &head) override;
    bool takeBytes(std::string_view bytes) override;
    std::size_t heldBytes() const override;
    void describeEnd(Cause cause, AttemptEnded &ended) override;

private:
    AttemptEnd endOf(Cause cause) const;

    AttemptSummary m_answer;
    bool m_hasHead = false;
    bool m_isOwn = false; ///< The answer carries the request's id.
    bool m_notStarted = false;
    bool m_leaving = false;
};

} // namespace comfrey
