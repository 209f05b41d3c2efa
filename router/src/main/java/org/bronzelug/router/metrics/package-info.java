/** Counters and latency histograms. */
package org.bronzelug.router.metrics;
