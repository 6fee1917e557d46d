// Builds the index of routes and looks up a call's queue.
#include "dragonflymount/src/Jobs/RouteTable.hpp"

namespace dragonflymount::jobs {

void route_table::reset(const wire::CatalogueT& catalogue) {
    queues_.clear();
    lengths_.clear();
    for (const auto& queue : catalogue.queues) {
        const route_key key(queue->host, queue->path_prefix);
        queues_.emplace(key, queue.get());
        lengths_.insert(queue->path_prefix.size());
    }
}

const wire::JobQueueT* route_table::find(
    std::string_view host, std::string_view path) const {
    for (auto length = lengths_.lower_bound(path.size());
         length != lengths_.end(); ++length) {
        const auto found =
            queues_.find(route_key(host, path.substr(0, *length)));
        if (found != queues_.end()) {
            return found->second;
        }
    }
    return nullptr;
}

} // namespace dragonflymount::jobs
