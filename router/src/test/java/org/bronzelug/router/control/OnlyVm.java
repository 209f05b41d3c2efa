package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.List;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;

/** The order service of a fleet of one VM. Stateless. */
final class OnlyVm {
    private static final VmSettings SETTINGS =
            new VmSettings(
                    "vm",
                    "z",
                    "127.0.0.1:1",
                    "127.0.0.1:2",
                    "127.0.0.1:3",
                    List.of(),
                    true,
                    1,
                    new FleetBounds(0.2, 10, 50, 1, 3_000, 8_000, 8_000, 2_000, 0),
                    LoadSettings.none(),
                    1_200);

    private OnlyVm() {}

    static OrderService orders(
            EventLoop control,
            ObjectStore store,
            ControlState state,
            OrderService.Runners runners) {
        return new OrderService(
                control, store, SETTINGS, "incarnation", state, new MemberTable("vm"), runners);
    }
}
