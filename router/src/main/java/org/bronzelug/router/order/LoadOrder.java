package org.bronzelug.router.order;

/**
 * An order to load weights. Immutable.
 *
 * @param model whose weights
 * @param version to load
 * @param holder the VM that gives it
 * @param fence of its tenure
 * @param expectedSequence the number of orders that the runner has taken so far: an order that is
 *     carried out late, after a newer one, is refused by this
 */
public record LoadOrder(
        String model, long version, String holder, long fence, long expectedSequence) {}
