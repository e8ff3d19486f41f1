package org.parsleydrift.placement;

/** How complete the usage of a team is that a node decides by. */
public enum QuotaAuthority {
    /** All admissions of others have been reported to the node. */
    SETTLED,
    /** The node has just become the coordinator, or decides in place of it: recent admissions may be unknown. */
    PROVISIONAL
}
