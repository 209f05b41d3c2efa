package org.bronzelug.router.traffic;

import org.bronzelug.core.placement.GoalClass;

/**
 * The prefill work that another VM has reported for one pool and class of goals. Immutable.
 *
 * @param vm the VM that sent the work
 * @param incarnation the start of the VM that the counter belongs to
 * @param pool the pool that the work was sent to
 * @param goalClass the class of the prompts
 * @param tokens prefill tokens sent since that start
 */
public record PeerPoolWork(
        String vm, String incarnation, String pool, GoalClass goalClass, long tokens) {}
