// Finds the queue of a call by its host and the longest matching path prefix.
#ifndef DRAGONFLYMOUNT_JOBS_ROUTE_TABLE_HPP
#define DRAGONFLYMOUNT_JOBS_ROUTE_TABLE_HPP

#include "dragonflymount/wire.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflymount::jobs {

/// \brief An index over the routes of a catalogue.
///
/// A lookup costs one probe for each length that prefixes have, however many
/// routes there are.
class route_table {
public:
    /// \brief Replaces the index. \p catalogue must outlive its use.
    void reset(const wire::CatalogueT& catalogue);
    /// \returns the queue at \p host with the longest prefix that \p path
    /// begins with, or null if there is none.
    const wire::JobQueueT* find(
        std::string_view host, std::string_view path) const;

private:
    using route_key = std::pair<std::string_view, std::string_view>;

    absl::flat_hash_map<route_key, const wire::JobQueueT*> queues_;
    // The lengths of all prefixes, the longest first.
    std::set<std::size_t, std::greater<>> lengths_;
};

} // namespace dragonflymount::jobs

#endif
