// Scripts and answers of the stand-in.
#include "programs/worker/script/answer.hpp"

#include "dragonflymount/rules.hpp"

namespace dragonflymount::worker_program {

task_script parse_script(const std::string& body) {
    task_script script;
    for (const std::string& word : words_of(body, " \n")) {
        if (word.starts_with("run=")) {
            script.run =
                rules::parse_duration(word.substr(4)).value_or(duration(0));
        } else if (word.starts_with("size=")) {
            script.answer_bytes =
                parse_number<std::size_t>(word.substr(5)).value_or(0);
        } else if (word == "fail") {
            script.fails = true;
        }
    }
    return script;
}

bytes expected_answer(const std::string& id, const std::string& body) {
    const bytes block = sha256(to_bytes(id + "\n" + body));
    const std::size_t size = parse_script(body).answer_bytes;
    bytes answer;
    answer.reserve(size);
    while (answer.size() < size) {
        answer.push_back(block[answer.size() % block.size()]);
    }
    return answer;
}

} // namespace dragonflymount::worker_program
