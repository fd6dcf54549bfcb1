package org.verbenadyke.kernel.admission;

/**
 * Registers {@link AdaptiveLimit} as {@code adaptive}.
 */
public final class AdaptiveLimitProvider implements LimitProvider {
    @Override
    public String name() {
        return "adaptive";
    }

    @Override
    public ConcurrencyLimit create(LimitSettings settings) {
        return AdaptiveLimit.of(settings);
    }
}
