// Where the traffic loop and the helper threads put what they saw; the control thread takes it from
// there.
#pragma once

#include "comfrey/events.h"

namespace comfrey {

class EventSink
{
public:
    virtual ~EventSink() = default;
    /// Never blocks. Events of one thread are handled in the order in which it posted them.
    virtual void post(Event event) = 0;
};

} // namespace comfrey
