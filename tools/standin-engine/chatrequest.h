// Reads a request for a chat completion.
#pragma once

#include <memory>
#include <string>

#include <httplib.h>

#include "comfrey/error.h"
#include "standin-engine/sequence.h"

namespace comfrey::standin {

struct ChatRequest
{
    std::shared_ptr<Sequence> sequence;
    std::string model;
    bool isStreamed = false;
    std::string importFrom; ///< Address of the engine to import KV cache from; may be empty.
};

/// MalformedMessage, with the field named, for a body that is not in OpenAI's form.
Result<ChatRequest> readChatRequest(const httplib::Request &request,
                                    const std::string &crashMarker);

} // namespace comfrey::standin
