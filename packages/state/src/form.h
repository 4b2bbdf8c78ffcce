// Defines Form, the fields of a posted HTML form.

#ifndef SEQUOIAPATH_STATE_SRC_FORM_H_
#define SEQUOIAPATH_STATE_SRC_FORM_H_

#include <map>
#include <string>
#include <string_view>

namespace sequoiapath {

using Form = std::map<std::string, std::string, std::less<>>;

// Parses application/x-www-form-urlencoded text, or a query string. Of a name
// that occurs twice the first value counts. Thread-safe.
Form ParseForm(std::string_view text);

// Returns the value of `name`, or an empty text. The view is valid as long as
// `form` is unchanged.
std::string_view FieldOf(const Form& form, std::string_view name);

// Returns `text` in percent encoding, for a query string.
std::string EncodeUrlText(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_FORM_H_
