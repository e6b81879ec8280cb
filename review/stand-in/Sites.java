import java.util.List;

/** The settings of the small deployments, from their site files. */
final class Sites {
    private Sites() {}

    static World.Site dongXanh() {
        World.Site site = new World.Site();
        site.zones = new String[] {"ba-vi", "moc-chau", "cu-chi"};
        site.nodeZones = site.zones;
        site.types = List.of(new World.Type("trau-32", 32, 128, 0.8, 1.61, 0.45, 40));
        site.teams = List.of(new World.Team("dieu-phoi", 336, 568), new World.Team("tai-chinh", 336, 992));
        site.reportS = 3;
        site.leaseS = 22;
        site.cancelS = 47;
        site.rps = 100;
        site.writeRps = 40;
        site.valueKb = 16;
        site.txnOps = 32;
        site.cloudRps = 6;
        site.listLagS = 3;
        site.cpuShare = 0.34;
        site.sockets = 2500;
        return site;
    }

    static World.Site senderosAltos() {
        World.Site site = new World.Site();
        site.zones = new String[] {"san-pedro"};
        site.nodeZones = new String[] {"san-pedro", "san-pedro", "san-pedro"};
        site.types = List.of(
                new World.Type("quetzal-16", 16, 32, 0.2, 0.96, 0.29, 50),
                new World.Type("jaguar-32", 32, 256, 1.0, 2.65, 0.87, 25));
        site.teams = List.of(
                new World.Team("cartografia", 80, 192),
                new World.Team("guardaparques", 96, 360),
                new World.Team("terreno", 64, 192),
                new World.Team("relieve", 120, 240),
                new World.Team("app-movil", 48, 144),
                new World.Team("impresion", 72, 144));
        site.reportS = 3;
        site.leaseS = 32;
        site.cancelS = 62;
        site.rps = 150;
        site.writeRps = 30;
        site.valueKb = 16;
        site.txnOps = 24;
        site.cloudRps = 10;
        site.listLagS = 6;
        site.cpuShare = 0.136;
        site.sockets = 3000;
        return site;
    }
}
