// Holds the precompiled header that all libraries share.
