// A budget of extra work: each ordinary request pays in a fixed part of one extra request.
#pragma once

#include <algorithm>

namespace comfrey {

class Budget
{
public:
    /// `part` of an extra request per ordinary one; at most `most` are saved up, which is also
    /// what there is at the start.
    Budget(double part, double most) : m_part(part), m_most(most), m_saved(most) { }

    void payIn() { m_saved = std::min(m_most, m_saved + m_part); }

    bool take()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

    double saved() const { return m_saved; }

private:
    double m_part;
    double m_most;
    double m_saved; ///< From 0 to m_most.
};

} // namespace comfrey
