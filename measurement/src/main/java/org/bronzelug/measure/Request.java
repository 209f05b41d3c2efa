package org.bronzelug.measure;

import org.bronzelug.core.placement.PrefixChain;

/** One request in a run. Immutable. */
record Request(String team, PrefixChain chain, long arrived, int teamIndex) {}
