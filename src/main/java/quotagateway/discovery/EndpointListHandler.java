package quotagateway.discovery;

import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;

/** What becomes of a list. */
public interface EndpointListHandler {
    /** The next parts are of one list; one that is begun and never ends drops nothing. */
    void begins();

    /** A list of few entries, or a part: whole where what it does not name is gone. */
    void take(List<EndpointDescriptor> servers, boolean whole);

    /** The list is complete; seq is NaN where it names none. Drops: what no part has named is gone. */
    void ends(double seq, boolean whole, boolean drops);

    /** An entry that cannot be understood, the first of its list. */
    void spoilt(Exception what);

    /** The list has more entries than this: the others are left out, and it drops nothing. */
    void tooLong(int most);
}
