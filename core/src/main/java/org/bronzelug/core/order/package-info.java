/** Rollout of weights: which VM may order runners to load them, and which runners are next. */
package org.bronzelug.core.order;
