package policy

// SetGateways sets the number of gateways, as gateways come and go. The index self of this one is not used.
func (g *Gateway) SetGateways(now Micros, host Host, self, gateways int) {
	g.beginEvent(now, host)
	before := g.fleetPart(1)
	g.settings.GatewayCount = max(gateways, 1)
	if after := g.fleetPart(1); before > 0 && after != before { // the limit is a part of the fleet's
		g.inFlightLimit *= after / before
		g.inFlightLimit = max(g.inFlightLimit, g.fleetPart(minLimitPerServer))
	}
	g.dispatch()
}
